import { createHash } from 'node:crypto'
import { isNewer, leavingsNotIn, MAX_LEAVINGS, type HostRecord, type TargetRecord } from './records.js'

/** Records of all known daemons, the own one included. */
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

  /** Changes the own record and raises its sequence. */
  update (change: Partial<Pick<HostRecord, 'stopping' | 'incarnation' | 'leavings'>>): HostRecord {
    return this.#setOwn({ ...this.#own, ...change })
  }

  setTarget (target: TargetRecord | undefined): HostRecord {
    const { target: _, ...rest } = this.#own
    return this.#setOwn(target ? { ...rest, target } : rest)
  }

  /**
   * Merges a record heard from elsewhere and tells whether it changed anything. An older self with a higher incarnation
   * means that the clock went back between two starts: the own incarnation rises above it.
   */
  merge (record: HostRecord): boolean {
    if (record.host === this.#own.host) {
      if (record.incarnation <= this.#own.incarnation) return false
      this.update({ incarnation: record.incarnation + 1 })
      return true
    }
    const held = this.#records.get(record.host)
    if (held && !isNewer(record, held)) return false
    this.#records.set(record.host, withEarlierLeavings(record, held))
    this.#digest = undefined
    return true
  }

  /** Forgets a daemon that is known to be gone for good. */
  remove (host: string): boolean {
    if (host === this.#own.host || !this.#records.delete(host)) return false
    this.#digest = undefined
    return true
  }

  /** Fingerprint of the whole table; equal on daemons whose tables are equal. */
  digest (): string {
    if (this.#digest === undefined) {
      const lines = this.all().map(({ host, incarnation, sequence }) => `${host} ${incarnation} ${sequence}`).sort()
      this.#digest = createHash('sha1').update(lines.join('\n')).digest('base64')
    }
    return this.#digest
  }

  /** Whether targets are known to have left that the daemon beside them doesn't name in a record of its own. */
  leavingsMissingIn (record: HostRecord): boolean {
    return leavingsNotIn(record.leavings, this.#records.get(record.host)?.leavings).length > 0
  }

  #setOwn (record: HostRecord): HostRecord {
    this.#own = { ...record, sequence: record.sequence + 1 }
    this.#records.set(record.host, this.#own)
    this.#digest = undefined
    return this.#own
  }
}

/** A daemon that has just started knows nothing of the targets that left before; its peers keep that for it. */
function withEarlierLeavings (record: HostRecord, held: HostRecord | undefined): HostRecord {
  if (!held?.leavings || held.incarnation === record.incarnation) return record
  const earlier = leavingsNotIn(record.leavings, held.leavings)
  return { ...record, leavings: [...earlier, ...record.leavings ?? []].slice(-MAX_LEAVINGS) }
}
