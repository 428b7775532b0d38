import type { MessageInitShape } from '@bufbuild/protobuf'
import { backoffMs, type Cancel } from '@lentilwheel/core'
import { PULL_DELAY_MS, PULL_RETRY_MS } from '../constants.js'
import type { MeshContext, SnapshotSource } from '../context.js'
import { MeshService, type PullConfigRequest, type PullConfigResponseSchema } from '../gen/mesh_pb.js'
import type { MeshAddress } from '../wire/address.js'
import { packDelta, unpackDelta } from '../wire/codec.js'
import { TransferSlots } from '../wire/transferSlots.js'

const PULL_RETRY_CAP_MS = 10_000
/** A refused version is pulled again after this time, in case only the copy of one peer was at fault. */
const REFUSED_RETRY_MS = 5_000
/** Time after which a requester rejected because of too many transfers should retry. */
const RETRY_AFTER_MS = 300

/** Keeps the source `notice`, which obliges this daemon to push, when another message names a peer with a newer version. */
function strongerSource (source: SnapshotSource, before: SnapshotSource | undefined): SnapshotSource {
  return before === 'notice' ? before : source
}

/**
 * Pulls the configuration from a peer that holds a higher version, for daemons that a push did not reach, and answers the
 * pulls of others.
 */
export class ConfigPuller {
  readonly #ctx: MeshContext
  #cancel: Cancel | undefined
  #isPulling = false
  #attempt = 0
  /** Peer to pull from next, and the source to report for its version. */
  #peer: { address: MeshAddress, version: number, source: SnapshotSource } | undefined
  #refused = { version: 0, until: 0 }
  readonly #transferSlots: TransferSlots

  constructor (ctx: MeshContext) {
    this.#ctx = ctx
    this.#transferSlots = new TransferSlots(ctx.opts.timers)
  }

  stop (): void {
    this.#cancel?.()
  }

  /** Schedules a pull from a peer that holds a higher version, delayed unless urgent, since a push may arrive first. */
  onNewerVersion (address: MeshAddress, version: number, source: SnapshotSource = 'pull', isUrgent = false): void {
    const { snapshots, opts } = this.#ctx
    if (version <= snapshots.snapshot.version || this.#isRefused(version)) return
    if (version >= (this.#peer?.version ?? 0)) this.#peer = { address, version, source: strongerSource(source, this.#peer?.source) }
    if (isUrgent) this.#schedule(0)
    else if (!this.#cancel) this.#schedule(PULL_DELAY_MS * (1 + opts.random.next()))
  }

  /** Blocks pulls of a refused version for `REFUSED_RETRY_MS`. */
  deferRefused (version: number): void {
    this.#refused = { version, until: this.#ctx.opts.timers.now() + REFUSED_RETRY_MS }
  }

  /** Answers a pull with the delta from the requester's version; large deltas only to a few requesters at a time. */
  handlePull (req: PullConfigRequest): MessageInitShape<typeof PullConfigResponseSchema> {
    const { snapshots } = this.#ctx
    if (req.version >= snapshots.snapshot.version) return {}
    const delta = packDelta(snapshots.deltaSince(req.version, Buffer.from(req.rootHash).toString('hex')))
    return this.#transferSlots.tryAcquire(delta) ? { delta } : { retryAfterMs: RETRY_AFTER_MS }
  }

  #isRefused (version: number): boolean {
    return version === this.#refused.version && this.#ctx.opts.timers.now() < this.#refused.until
  }

  #schedule (ms: number): void {
    this.#cancel?.()
    this.#cancel = this.#ctx.opts.timers.after(ms, () => {
      this.#cancel = undefined
      this.#ctx.runInBackground(this.#pull())
    })
  }

  async #pull (): Promise<void> {
    const peer = this.#peer
    const { snapshots, messenger, opts } = this.#ctx
    if (!peer || this.#isPulling || this.#ctx.isStopped() || peer.version <= snapshots.snapshot.version) return
    this.#isPulling = true
    try {
      const { version, rootHash } = snapshots.snapshot
      const res = await messenger.call(peer.address, MeshService.method.pullConfig, {
        version, rootHash: new Uint8Array(Buffer.from(rootHash, 'hex'))
      })
      if (res.retryAfterMs > 0) return this.#schedule(res.retryAfterMs * (0.5 + opts.random.next()))
      this.#attempt = 0
      this.#peer = undefined
      this.apply(res.delta, peer.address, peer.source)
    } catch {
      this.#peer = undefined
      const ms = backoffMs(this.#attempt++, { baseMs: PULL_RETRY_MS, capMs: PULL_RETRY_CAP_MS }, opts.random)
      opts.timers.after(ms, () => this.#retryElsewhere(peer))
    } finally {
      this.#isPulling = false
    }
  }

  /** Pulls from another alive member known to hold the version, or from the same peer again if there is none. */
  #retryElsewhere (failed: { address: MeshAddress, version: number, source: SnapshotSource }): void {
    const { table, snapshots, opts } = this.#ctx
    if (this.#peer || snapshots.snapshot.version >= failed.version) return
    const holders = table.members().filter((member) => {
      return member.version >= failed.version && member.address !== failed.address && table.status(member) === 'alive'
    })
    const next = holders.length > 0 ? opts.random.pick(holders).address : failed.address
    this.onNewerVersion(next, failed.version, failed.source, true)
  }

  /** Applies a received delta; pulls from the sender if the delta starts from another version. */
  apply (packed: Parameters<typeof unpackDelta>[0], from: MeshAddress | undefined, source: SnapshotSource): void {
    const { snapshots } = this.#ctx
    const delta = unpackDelta(packed)
    if (!delta) return
    const result = snapshots.apply(delta)
    if (result.kind === 'held') return this.#ctx.onVersionApplied(snapshots.snapshot, source)
    if (result.kind === 'refused') {
      this.deferRefused(result.refusal.version)
      return this.#ctx.onVersionRefused(result.refusal)
    }
    if (result.kind === 'otherBase' && from) this.onNewerVersion(from, delta.to, source, true)
  }
}
