import type { DescMessage, MessageInitShape, MessageShape } from '@bufbuild/protobuf'
import type { EvidenceReport } from '@lentilwheel/core'
import type { Account } from '@lentilwheel/platform'
import type { MeshContext } from './context.js'
import type { Puller } from './dissemination/puller.js'
import { MeshBadMessage } from './errors.js'
import type { Starter } from './floor/starter.js'
import {
  MeshService, type Datagram, type EvidenceRequest, type ExchangeRequest, type Header, type PullConfigRequest,
  type Push, type PushRequest
} from './gen/mesh_pb.js'
import type { Exchanger } from './membership/exchanger.js'
import type { Prober } from './membership/prober.js'
import type { StatusCollector } from './status/collector.js'
import type { MeshMethod } from './transport/transport.js'
import type { MeshAddress } from './wire/address.js'
import { evidenceFromWire, factFromWire } from './wire/codec.js'
import { pack } from './wire/packed.js'

export interface DispatcherParts {
  ctx: MeshContext
  prober: Prober
  exchanger: Exchanger
  puller: Puller
  starter: Starter
  collector: StatusCollector
  account (): Account | undefined
  deliverEvidence (report: EvidenceReport): void
}

/** Hands each received message to the slice that owns it. */
export class Dispatcher {
  readonly #parts: DispatcherParts

  constructor (parts: DispatcherParts) {
    this.#parts = parts
  }

  /** Acknowledges first, so that the sender's timeout does not include the work. */
  datagram (from: MeshAddress, datagram: Datagram): void {
    const { ctx, prober, collector, puller } = this.#parts
    const { body, seq, header } = datagram
    switch (body.case) {
      case 'ping':
        return ctx.messenger.pong(from, seq)
      case 'pingReq':
        ctx.detach(prober.probeFor(from, datagram))
        return
      case 'push':
        ctx.messenger.ack(from, seq)
        return this.#push(body.value, from)
      case 'notice':
        ctx.messenger.ack(from, seq)
        ctx.noticed(header!.version)
        return puller.behind(from, header!.version, 'notice', true)
      case 'status':
        if (body.value.refusedVersion > 0) ctx.messenger.ack(from, seq)
        return collector.report(header!.from, header!.version, body.value, ctx.opts.timers.wallNow())
      case 'evidence':
        return this.#parts.deliverEvidence(evidenceFromWire(body.value))
    }
  }

  async call (method: MeshMethod, req: MessageShape<DescMessage>): Promise<MessageInitShape<DescMessage>> {
    const { exchanger, puller, ctx } = this.#parts
    switch (method) {
      case MeshService.method.exchange:
        return exchanger.answer(req as ExchangeRequest)
      case MeshService.method.pullConfig:
        return puller.answer(req as PullConfigRequest)
      case MeshService.method.push:
        return this.#pushCall(req as PushRequest)
      case MeshService.method.reportEvidence: {
        const { evidence } = req as EvidenceRequest
        if (evidence) this.#parts.deliverEvidence(evidenceFromWire(evidence))
        return {}
      }
      case MeshService.method.fetchEvents:
        return { events: packJson(ctx.opts.events.since(0)) }
      case MeshService.method.fetchAccount: {
        const account = this.#parts.account()
        return account ? { account: packJson(account) } : {}
      }
      default:
        throw new MeshBadMessage(`call ${method.name} is not known`)
    }
  }

  #pushCall (req: PushRequest): MessageInitShape<DescMessage> {
    const from = addressOf(this.#parts.ctx, req.header)
    if (req.push) this.#push(req.push, from)
    return {}
  }

  /** Passes the push on before it takes it in: receivers check for themselves, and time counts at every level. */
  #push (push: Push, from: MeshAddress | undefined): void {
    const { ctx, puller, starter } = this.#parts
    ctx.detach(ctx.spreader.forward(push))
    ctx.mergeRecords(push.records, 'rumour')
    ctx.mergeFacts(push.facts.map(factFromWire))
    if (!push.delta) return
    puller.take(push.delta, from, 'push')
    if (push.fromHead) starter.sawHead()
  }
}

export function addressOf (ctx: MeshContext, header: Header | undefined): MeshAddress | undefined {
  return header ? ctx.table.get(header.from)?.address : undefined
}

function packJson (value: unknown): ReturnType<typeof pack> {
  return pack(new TextEncoder().encode(JSON.stringify(value)))
}
