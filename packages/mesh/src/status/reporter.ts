import { create } from '@bufbuild/protobuf'
import type { Cancel } from '@lentilwheel/core'
import { CHILD_TIMEOUT_MS, STATUS_JITTER_MS, STATUS_RETRY_MS } from '../constants.js'
import type { MeshContext } from '../context.js'
import type { Refusal } from '../dissemination/holder.js'
import { StatusSchema, type Record as MemberRecord, type Status } from '../gen/mesh_pb.js'
import { relayAddressees } from '../relay/election.js'
import { meshAddress } from '../wire/address.js'
import type { StatusCollector } from './collector.js'

/** Longest reason that fits into a datagram beside the rest. */
const MAX_REASON_LENGTH = 600

/** Tells the relay of the data centre what is in force here, when that or the relay changes. */
export class StatusReporter {
  readonly #ctx: MeshContext
  readonly #collector: StatusCollector
  #status: Status = create(StatusSchema)
  #cancel: Cancel | undefined
  #toldRelay = ''
  #told: Status | undefined

  constructor (ctx: MeshContext, collector: StatusCollector) {
    this.#ctx = ctx
    this.#collector = collector
  }

  stop (): void {
    this.#cancel?.()
  }

  held (version: number): void {
    const isSettled = this.#status.refusedVersion <= version
    this.#change(isSettled ? { refusedVersion: 0, refusedChange: '', refusedReason: '' } : {})
  }

  refused (refusal: Refusal): void {
    this.#change({
      refusedVersion: refusal.version,
      refusedChange: refusal.changeId,
      refusedReason: refusal.reason.slice(0, MAX_REASON_LENGTH)
    })
  }

  /** Called when membership changed: a new first relay needs the status, too. */
  relayMayHaveChanged (): void {
    if (!this.#cancel && this.#addressees()[0]?.id !== this.#toldRelay) this.#schedule(STATUS_JITTER_MS)
  }

  #change (change: Partial<Status>): void {
    this.#status = create(StatusSchema, { ...this.#status, ...change })
    if (!this.#cancel) this.#schedule(STATUS_JITTER_MS)
  }

  #schedule (ms: number): void {
    const { timers, random } = this.#ctx.opts
    this.#cancel = timers.after(ms * (0.1 + 0.9 * random.next()), () => {
      this.#ctx.detach(this.#tell().finally(() => {
        this.#cancel = undefined
        const isTold = this.#told === this.#status && this.#addressees()[0]?.id === this.#toldRelay
        if (!isTold && !this.#ctx.isStopped()) this.#schedule(STATUS_RETRY_MS)
      }))
    })
  }

  async #tell (): Promise<void> {
    const status = this.#status
    for (const record of this.#addressees()) {
      if (!await this.#tellOne(record, status)) continue
      this.#told = status
      this.#toldRelay = record.id
      return
    }
  }

  /** Only a refusal needs an answer: the relay asks for the version of those that seem to lag. */
  async #tellOne (record: MemberRecord, status: Status): Promise<boolean> {
    const { table, messenger, holder, opts } = this.#ctx
    if (record.id === table.self.id) {
      this.#collector.report(record.id, holder.snapshot.version, status, opts.timers.wallNow())
      return true
    }
    const address = meshAddress(record.address, record.meshPort)
    const body = { case: 'status', value: status } as const
    if (status.refusedVersion > 0) return await messenger.request(address, body, CHILD_TIMEOUT_MS) !== undefined
    messenger.send(address, body)
    return true
  }

  #addressees () {
    return relayAddressees(this.#ctx.table, this.#ctx.table.self.dataCentre)
  }
}
