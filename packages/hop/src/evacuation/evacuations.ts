import type { Timers } from '@lentilwheel/core'
import type { CallLog } from '../observe/callLog.js'
import { REWRITE_MS } from '../rollout/supersededOrders.js'
import type { EpochTracker } from '../store/epochTracker.js'
import { formatRevision, isLater, type StoreRevision } from '../store/storeRevision.js'
import { replaces, type EvacuationRecord, type EvacuationView } from './evacuationRecord.js'

export interface EvacuationsOptions {
  timers: Pick<Timers, 'now'>
  epochs: Pick<EpochTracker, 'onRise'>
  log: CallLog
  /** Called with the records that have changed. `from`: `store` or the host of a peer. */
  onChange (changed: readonly EvacuationRecord[], from: string): void
}

/** Bounds the memory and the messages that entries of another writer can take; far more than there are data centres. */
const MAX_RECORDS = 64

/** The orders to evacuate data centres that this daemon knows, and the removals of such orders; the one at the latest store revision counts. */
export class Evacuations implements EvacuationView {
  readonly #opts: EvacuationsOptions
  readonly #records = new Map<string, EvacuationRecord>()
  /** Number of the revision of the latest order, by data centre, to recognise it when a restored store shows it again. */
  readonly #orderNumbers = new Map<string, number>()
  /** Revision of the latest complete list; an order that is not later and was not in it has been removed. */
  #listedAt: StoreRevision | undefined
  #heldUntil = -Infinity

  constructor (opts: EvacuationsOptions) {
    this.#opts = opts
    opts.epochs.onRise(() => { this.#heldUntil = opts.timers.now() + REWRITE_MS })
  }

  isEvacuated (dataCentre: string): boolean {
    return this.#records.get(dataCentre)?.isOrdered ?? false
  }

  /** Number of evacuated data centres. */
  get count (): number {
    return this.records().filter(({ isOrdered }) => isOrdered).length
  }

  /** Everything known, for messages to peers; empty as long as nothing was ever ordered. */
  records (): EvacuationRecord[] {
    return [...this.#records.values()]
  }

  /** One line for each record, for the digest that daemons compare. */
  digestLines (): string[] {
    return this.records().map(({ dataCentre, isOrdered, revision }) => `${dataCentre} ${isOrdered} ${formatRevision(revision)}`).sort()
  }

  /** Takes over all orders that the store lists; a known order that is missing has been removed. */
  onList (orders: readonly EvacuationRecord[], listedNames: ReadonlySet<string>, revision: StoreRevision): void {
    const missing = this.records().filter(({ dataCentre, isOrdered }) => isOrdered && !listedNames.has(dataCentre))
    this.#applyAll([...orders, ...missing.map(({ dataCentre }) => ({ dataCentre, isOrdered: false, revision }))], 'store')
    if (!this.#listedAt || isLater(revision, this.#listedAt)) this.#listedAt = revision
  }

  /** Takes over records that are later than the known ones. */
  merge (records: readonly EvacuationRecord[], from: string): void {
    this.#applyAll(records.map((record) => this.#withoutRemoved(record)), from)
  }

  #applyAll (records: readonly EvacuationRecord[], from: string): void {
    const changed = records.filter((record) => this.#apply(record, from))
    if (changed.length > 0) this.#opts.onChange(changed, from)
  }

  #apply (record: EvacuationRecord, from: string): boolean {
    const { dataCentre, isOrdered, revision } = record
    const { log } = this.#opts
    const known = this.#records.get(dataCentre)
    if (known && !replaces(record, known)) return false
    const before = known ? { before: formatRevision(known.revision), wasOrdered: known.isOrdered } : {}
    const fields = { dataCentre, isOrdered, revision: formatRevision(revision), from, ...before }
    const refusal = this.#refusal(record, known)
    if (refusal) {
      log.decision(refusal, fields)
      return false
    }
    this.#records.set(dataCentre, record)
    if (isOrdered) this.#orderNumbers.set(dataCentre, revision.number)
    log.decision('evacuation', fields)
    return true
  }

  /** Name of the log line for a record that is not taken over; undefined for one that is, for which there is room then. */
  #refusal (record: EvacuationRecord, known: EvacuationRecord | undefined): 'evacuationHeld' | 'evacuationIgnored' | undefined {
    if (known) return this.#isHeld(record, known) ? 'evacuationHeld' : undefined
    return this.#makeRoom() ? undefined : 'evacuationIgnored'
  }

  /** The removal of an order that a peer still holds although a list of the store shows that it is gone; otherwise the record itself. */
  #withoutRemoved (record: EvacuationRecord): EvacuationRecord {
    const { dataCentre, isOrdered, revision } = record
    const listedAt = this.#listedAt
    if (!isOrdered || !listedAt || isLater(revision, listedAt) || this.isEvacuated(dataCentre)) return record
    if (listedAt.epoch > revision.epoch && this.#isHolding) return record
    return { dataCentre, isOrdered: false, revision: listedAt }
  }

  /**
   * Whether a restored store may show another state only because what was written since the copy is not written again
   * yet: the order is missing, or the one that was removed is back.
   */
  #isHeld (record: EvacuationRecord, known: EvacuationRecord): boolean {
    if (!this.#isHolding || record.revision.epoch <= known.revision.epoch || record.isOrdered === known.isOrdered) return false
    return !record.isOrdered || record.revision.number === this.#orderNumbers.get(record.dataCentre)
  }

  get #isHolding (): boolean {
    return this.#opts.timers.now() < this.#heldUntil
  }

  /** Makes room for another record by forgetting a removal; false if there are orders only. */
  #makeRoom (): boolean {
    if (this.#records.size < MAX_RECORDS) return true
    const removed = this.records().find(({ isOrdered }) => !isOrdered)
    if (!removed) return false
    this.#orderNumbers.delete(removed.dataCentre)
    return this.#records.delete(removed.dataCentre)
  }
}
