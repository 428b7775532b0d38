import { createHash } from 'node:crypto'
import { departuresNotIn, isNewer, MAX_DEPARTURES, type Departure, type HostRecord, type TargetRecord } from './hostRecord.js'

/** Newest known record of each daemon, including the own one, which only this daemon changes. */
export class HostTable {
  readonly #records = new Map<string, HostRecord>()
  #own: HostRecord
  #digest: string | undefined

  constructor (own: HostRecord) {
    this.#own = own
    this.#records.set(own.host, own)
  }

  get own (): HostRecord {
    return this.#own
  }

  get (host: string): HostRecord | undefined {
    return this.#records.get(host)
  }

  all (): HostRecord[] {
    return [...this.#records.values()]
  }

  peers (): HostRecord[] {
    return this.all().filter((record) => record.host !== this.#own.host)
  }

  /** Changes the own record and increments its sequence. */
  updateOwn (change: Partial<Pick<HostRecord, 'stopping' | 'incarnation' | 'leavings'>>): HostRecord {
    return this.#setOwn({ ...this.#own, ...change })
  }

  setTarget (target: TargetRecord | undefined): HostRecord {
    const { target: _, ...rest } = this.#own
    return this.#setOwn(target ? { ...rest, target } : rest)
  }

  /**
   * Merges a record received from elsewhere; tells whether it changed anything. A record of this daemon from an earlier
   * start with a higher incarnation means that the clock was set back between the two starts: the own incarnation is
   * raised above it, as peers would ignore it otherwise.
   */
  merge (record: HostRecord): boolean {
    if (record.host === this.#own.host) {
      if (record.incarnation <= this.#own.incarnation) return false
      this.updateOwn({ incarnation: record.incarnation + 1 })
      return true
    }
    const known = this.#records.get(record.host)
    if (known && !isNewer(record, known)) return false
    this.#records.set(record.host, withEarlierDepartures(record, known))
    this.#digest = undefined
    return true
  }

  /** Adds a departure that this daemon heard of before the other daemon's own record listed it; tells whether it was new. */
  addDeparture (host: string, departure: Departure): boolean {
    const known = this.#records.get(host)
    if (!known || host === this.#own.host || departuresNotIn(known.leavings, [departure]).length === 0) return false
    this.#records.set(host, withEarlierDepartures({ ...known, leavings: [departure] }, known))
    return true
  }

  /** Removes the record of a daemon that is gone for good; tells whether there was one. */
  remove (host: string): boolean {
    if (host === this.#own.host || !this.#records.delete(host)) return false
    this.#digest = undefined
    return true
  }

  /** Fingerprint of all records; equal on daemons whose tables are equal. */
  digest (): string {
    if (this.#digest === undefined) {
      const lines = this.all().map(({ host, incarnation, sequence }) => `${host} ${incarnation} ${sequence}`).sort()
      this.#digest = createHash('sha1').update(lines.join('\n')).digest('base64')
    }
    return this.#digest
  }

  /** Whether this table knows departures from the record's host that the record itself doesn't list. */
  hasDeparturesMissingIn (record: HostRecord): boolean {
    return departuresNotIn(record.leavings, this.#records.get(record.host)?.leavings).length > 0
  }

  #setOwn (record: HostRecord): HostRecord {
    this.#own = { ...record, sequence: record.sequence + 1 }
    this.#records.set(record.host, this.#own)
    this.#digest = undefined
    return this.#own
  }
}

/**
 * Adds the departures of the known record to a newer one. A daemon loses its departures in a restart, and a record may have
 * been sent before a departure of which its receiver has heard since, so peers keep them.
 */
function withEarlierDepartures (record: HostRecord, known: HostRecord | undefined): HostRecord {
  if (!known?.leavings) return record
  const earlier = departuresNotIn(record.leavings, known.leavings)
  return { ...record, leavings: [...earlier, ...record.leavings ?? []].slice(-MAX_DEPARTURES) }
}
