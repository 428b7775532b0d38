import type { DescMessage, MessageInitShape, MessageShape } from '@bufbuild/protobuf'
import type { EvidenceReport } from '@lentilwheel/core'
import type { Account } from '@lentilwheel/platform'
import type { MeshContext } from './context.js'
import type { ConfigPuller } from './dissemination/configPuller.js'
import { MeshBadMessage } from './errors.js'
import type { Bootstrapper } from './floor/bootstrapper.js'
import {
  MeshService, type Datagram, type EvidenceRequest, type ExchangeRequest, type Header, type PullConfigRequest,
  type Push, type PushRequest
} from './gen/mesh_pb.js'
import type { AntiEntropy } from './membership/antiEntropy.js'
import type { Prober } from './membership/prober.js'
import type { StatusCollector } from './status/statusCollector.js'
import type { MeshMethod } from './transport/meshTransport.js'
import type { MeshAddress } from './wire/address.js'
import { evidenceFromWire, factFromWire } from './wire/codec.js'
import { pack } from './wire/packed.js'

/** What a dispatcher passes messages to. */
export interface DispatcherDeps {
  ctx: MeshContext
  prober: Prober
  antiEntropy: AntiEntropy
  configPuller: ConfigPuller
  bootstrapper: Bootstrapper
  collector: StatusCollector
  account (): Account | undefined
  deliverEvidence (report: EvidenceReport): void
}

/** Passes each received datagram and call to the component that handles it. */
export class Dispatcher {
  readonly #deps: DispatcherDeps

  constructor (deps: DispatcherDeps) {
    this.#deps = deps
  }

  /** Acknowledges before handling, so that the sender's timeout does not include the handling. */
  onDatagram (from: MeshAddress, datagram: Datagram): void {
    const { ctx, prober, collector, configPuller } = this.#deps
    const { body, seq, header } = datagram
    switch (body.case) {
      case 'ping':
        return ctx.messenger.pong(from, seq)
      case 'pingReq':
        ctx.runInBackground(prober.probeFor(from, datagram))
        return
      case 'push':
        ctx.messenger.ack(from, seq)
        return this.#onPush(body.value, from)
      case 'notice':
        ctx.messenger.ack(from, seq)
        ctx.onNotice(header!.version)
        return configPuller.onNewerVersion(from, header!.version, 'notice', true)
      case 'status':
        if (body.value.refusedVersion > 0) ctx.messenger.ack(from, seq)
        return collector.recordStatus(header!.from, header!.version, body.value, ctx.opts.timers.wallNow())
      case 'evidence':
        return this.#deps.deliverEvidence(evidenceFromWire(body.value))
    }
  }

  async onCall (method: MeshMethod, req: MessageShape<DescMessage>): Promise<MessageInitShape<DescMessage>> {
    const { antiEntropy, configPuller, ctx } = this.#deps
    switch (method) {
      case MeshService.method.exchange:
        return antiEntropy.handleExchange(req as ExchangeRequest)
      case MeshService.method.pullConfig:
        return configPuller.handlePull(req as PullConfigRequest)
      case MeshService.method.push:
        return this.#onPushCall(req as PushRequest)
      case MeshService.method.reportEvidence: {
        const { evidence } = req as EvidenceRequest
        if (evidence) this.#deps.deliverEvidence(evidenceFromWire(evidence))
        return {}
      }
      case MeshService.method.fetchEvents:
        return { events: packJson(ctx.opts.events.since(0)) }
      case MeshService.method.fetchAccount: {
        const account = this.#deps.account()
        return account ? { account: packJson(account) } : {}
      }
      default:
        throw new MeshBadMessage(`unknown method ${method.name}`)
    }
  }

  #onPushCall (req: PushRequest): MessageInitShape<DescMessage> {
    const from = senderAddress(this.#deps.ctx, req.header)
    if (req.push) this.#onPush(req.push, from)
    return {}
  }

  /** Forwards a push before applying it: delay adds up over the levels of the tree, and each receiver validates by itself. */
  #onPush (push: Push, from: MeshAddress | undefined): void {
    const { ctx, configPuller, bootstrapper } = this.#deps
    ctx.runInBackground(ctx.broadcaster.forward(push))
    ctx.mergeRecords(push.records, 'gossip')
    ctx.mergeFacts(push.facts.map(factFromWire))
    if (!push.delta) return
    configPuller.apply(push.delta, from, 'push')
    if (push.fromHead) bootstrapper.onHeadRead()
  }
}

/** Mesh address of the member that sent a call, if it is known. */
export function senderAddress (ctx: MeshContext, header: Header | undefined): MeshAddress | undefined {
  return header ? ctx.table.get(header.from)?.address : undefined
}

function packJson (value: unknown): ReturnType<typeof pack> {
  return pack(new TextEncoder().encode(JSON.stringify(value)))
}
