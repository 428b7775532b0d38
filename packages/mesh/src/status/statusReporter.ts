import { create } from '@bufbuild/protobuf'
import type { Cancel } from '@lentilwheel/core'
import { CHILD_TIMEOUT_MS, STATUS_JITTER_MS, STATUS_RETRY_MS } from '../constants.js'
import type { MeshContext } from '../context.js'
import type { VersionRefusal } from '../dissemination/snapshotStore.js'
import { StatusSchema, type Record as MemberRecord, type Status } from '../gen/mesh_pb.js'
import { relayRecipients } from '../relay/election.js'
import { meshAddress } from '../wire/address.js'
import type { StatusCollector } from './statusCollector.js'

/** Length in characters to which a reason is cut, so that the status fits into a datagram. */
const MAX_REASON_LENGTH = 600

/**
 * Reports this daemon's active version and the version that it refused last to the relay of its data centre, whenever they
 * or the relay change. Reports are delayed by a random time, so that the relay does not receive all of them at once.
 */
export class StatusReporter {
  readonly #ctx: MeshContext
  readonly #collector: StatusCollector
  /** The version refused last, if any; the active version goes in the header of the report. */
  #status: Status = create(StatusSchema)
  #cancelSend: Cancel | undefined
  /** Id of the relay that received the last report. */
  #reportedRelay = ''
  #reported: Status | undefined

  constructor (ctx: MeshContext, collector: StatusCollector) {
    this.#ctx = ctx
    this.#collector = collector
  }

  stop (): void {
    this.#cancelSend?.()
  }

  /** A version became active; a refusal of the same or an older version is cleared. */
  onVersionApplied (version: number): void {
    const isSettled = this.#status.refusedVersion <= version
    this.#change(isSettled ? { refusedVersion: 0, refusedChange: '', refusedReason: '' } : {})
  }

  onVersionRefused (refusal: VersionRefusal): void {
    this.#change({
      refusedVersion: refusal.version,
      refusedChange: refusal.changeId,
      refusedReason: refusal.reason.slice(0, MAX_REASON_LENGTH)
    })
  }

  /** Called when membership changed: a new primary relay needs the status, too. */
  onMembersChanged (): void {
    if (!this.#cancelSend && this.#recipients()[0]?.id !== this.#reportedRelay) this.#schedule(STATUS_JITTER_MS)
  }

  #change (change: Partial<Status>): void {
    this.#status = create(StatusSchema, { ...this.#status, ...change })
    if (!this.#cancelSend) this.#schedule(STATUS_JITTER_MS)
  }

  #schedule (ms: number): void {
    const { timers, random } = this.#ctx.opts
    this.#cancelSend = timers.after(ms * (0.1 + 0.9 * random.next()), () => {
      this.#ctx.runInBackground(this.#send().finally(() => {
        this.#cancelSend = undefined
        const isReported = this.#reported === this.#status && this.#recipients()[0]?.id === this.#reportedRelay
        if (!isReported && !this.#ctx.isStopped()) this.#schedule(STATUS_RETRY_MS)
      }))
    })
  }

  async #send (): Promise<void> {
    const status = this.#status
    for (const record of this.#recipients()) {
      if (!await this.#sendTo(record, status)) continue
      this.#reported = status
      this.#reportedRelay = record.id
      return
    }
  }

  /** Sends the status; only a refusal must be acknowledged, since the relay pings daemons whose version seems to lag. */
  async #sendTo (record: MemberRecord, status: Status): Promise<boolean> {
    const { table, messenger, snapshots, opts } = this.#ctx
    if (record.id === table.self.id) {
      this.#collector.recordStatus(record.id, snapshots.snapshot.version, status, opts.timers.wallNow())
      return true
    }
    const address = meshAddress(record.address, record.meshPort)
    const body = { case: 'status', value: status } as const
    if (status.refusedVersion > 0) return await messenger.request(address, body, CHILD_TIMEOUT_MS) !== undefined
    messenger.send(address, body)
    return true
  }

  #recipients () {
    return relayRecipients(this.#ctx.table, this.#ctx.table.self.dataCentre)
  }
}
