import type { MessageInitShape } from '@bufbuild/protobuf'
import { backoffMs, type Cancel } from '@lentilwheel/core'
import { PULL_DELAY_MS, PULL_RETRY_MS } from '../constants.js'
import type { MeshContext, SnapshotSource } from '../context.js'
import { MeshService, type PullConfigRequest, type PullConfigResponseSchema } from '../gen/mesh_pb.js'
import type { MeshAddress } from '../wire/address.js'
import { packDelta, unpackDelta } from '../wire/codec.js'
import { TransferSlots } from '../wire/transferSlots.js'

const MAX_RETRY_MS = 10_000
/** A refused version is fetched again after this time, in case the copy of one peer was at fault. */
const REFUSED_RETRY_MS = 5_000
const RETRY_AFTER_MS = 300

/** A notice obliges this daemon to push, also when another message named a newer holder meanwhile. */
function strongest (as: SnapshotSource, before: SnapshotSource | undefined): SnapshotSource {
  return before === 'notice' ? before : as
}

/** Fetches the configuration from a peer that holds a higher version. */
export class Puller {
  readonly #ctx: MeshContext
  #cancel: Cancel | undefined
  #isPulling = false
  #attempt = 0
  #source: { address: MeshAddress, version: number, as: SnapshotSource } | undefined
  #refused = { version: 0, until: 0 }
  readonly #slots: TransferSlots

  constructor (ctx: MeshContext) {
    this.#ctx = ctx
    this.#slots = new TransferSlots(ctx.opts.timers)
  }

  stop (): void {
    this.#cancel?.()
  }

  /** A peer holds a higher version; the push through the tree gets its chance first, unless the pull is urgent. */
  behind (address: MeshAddress, version: number, as: SnapshotSource = 'pull', isUrgent = false): void {
    const { holder, opts } = this.#ctx
    if (version <= holder.snapshot.version || this.#isRefused(version)) return
    if (version >= (this.#source?.version ?? 0)) this.#source = { address, version, as: strongest(as, this.#source?.as) }
    if (isUrgent) this.#schedule(0)
    else if (!this.#cancel) this.#schedule(PULL_DELAY_MS * (1 + opts.random.next()))
  }

  refused (version: number): void {
    this.#refused = { version, until: this.#ctx.opts.timers.now() + REFUSED_RETRY_MS }
  }

  /** Gives the difference to a daemon that lags; whole configurations only to a few at a time. */
  answer (req: PullConfigRequest): MessageInitShape<typeof PullConfigResponseSchema> {
    const { holder } = this.#ctx
    if (req.version >= holder.snapshot.version) return {}
    const delta = packDelta(holder.deltaFrom(req.version, Buffer.from(req.rootHash).toString('hex')))
    return this.#slots.admits(delta) ? { delta } : { retryAfterMs: RETRY_AFTER_MS }
  }

  #isRefused (version: number): boolean {
    return version === this.#refused.version && this.#ctx.opts.timers.now() < this.#refused.until
  }

  #schedule (ms: number): void {
    this.#cancel?.()
    this.#cancel = this.#ctx.opts.timers.after(ms, () => {
      this.#cancel = undefined
      this.#ctx.detach(this.#pull())
    })
  }

  async #pull (): Promise<void> {
    const source = this.#source
    const { holder, messenger, opts } = this.#ctx
    if (!source || this.#isPulling || this.#ctx.isStopped() || source.version <= holder.snapshot.version) return
    this.#isPulling = true
    try {
      const { version, rootHash } = holder.snapshot
      const res = await messenger.call(source.address, MeshService.method.pullConfig, {
        version, rootHash: new Uint8Array(Buffer.from(rootHash, 'hex'))
      })
      if (res.retryAfterMs > 0) return this.#schedule(res.retryAfterMs * (0.5 + opts.random.next()))
      this.#attempt = 0
      this.#source = undefined
      this.take(res.delta, source.address, source.as)
    } catch {
      this.#source = undefined
      const ms = backoffMs(this.#attempt++, { baseMs: PULL_RETRY_MS, capMs: MAX_RETRY_MS }, opts.random)
      opts.timers.after(ms, () => this.#askAnother(source))
    } finally {
      this.#isPulling = false
    }
  }

  /** The holder did not answer; any member heard to hold the version will do. */
  #askAnother (failed: { address: MeshAddress, version: number, as: SnapshotSource }): void {
    const { table, holder, opts } = this.#ctx
    if (this.#source || holder.snapshot.version >= failed.version) return
    const holders = table.members().filter((member) => {
      return member.version >= failed.version && member.address !== failed.address && table.status(member) === 'alive'
    })
    const next = holders.length > 0 ? opts.random.pick(holders).address : failed.address
    this.behind(next, failed.version, failed.as, true)
  }

  /** Takes a received difference into force. */
  take (packed: Parameters<typeof unpackDelta>[0], from: MeshAddress | undefined, as: SnapshotSource): void {
    const { holder } = this.#ctx
    const delta = unpackDelta(packed)
    if (!delta) return
    const result = holder.take(delta)
    if (result.kind === 'held') return this.#ctx.held(holder.snapshot, as)
    if (result.kind === 'refused') {
      this.refused(result.refusal.version)
      return this.#ctx.refused(result.refusal)
    }
    if (result.kind === 'otherBase' && from) this.behind(from, delta.to, as, true)
  }
}
