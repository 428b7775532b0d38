import type { HostRecord } from '../fleet/hostRecord.js'

interface HeardLimit {
  perS: number
  /** Since when no daemon announces the target; undefined while one does. */
  absentSince: number | undefined
}

/** Time for which the limit of a target is remembered that no daemon announces: the one beside it may be restarting. */
const RETENTION_MS = 300_000

/**
 * Limits that targets stated in responses which this daemon passed on. They are kept while the daemon beside the target
 * restarts, so that it can be told with the next request.
 */
export class HeardLimits {
  readonly #limits = new Map<string, HeardLimit>()

  /** Requests per second; undefined if the target stated no limit. */
  get (targetId: string): number | undefined {
    return this.#limits.get(targetId)?.perS
  }

  /** `perS` is Infinity when the target states no limit any more. */
  record (targetId: string, perS: number): void {
    if (perS === Infinity) this.#limits.delete(targetId)
    else this.#limits.set(targetId, { perS, absentSince: undefined })
  }

  /** Forgets targets that are in none of the records, and have not been for `RETENTION_MS`. */
  retain (records: readonly HostRecord[], now: number): void {
    if (this.#limits.size === 0) return
    const announced = new Set(records.map(({ target }) => target?.id))
    for (const [targetId, limit] of this.#limits) {
      limit.absentSince = announced.has(targetId) ? undefined : limit.absentSince ?? now
      if (limit.absentSince !== undefined && now - limit.absentSince > RETENTION_MS) this.#limits.delete(targetId)
    }
  }
}
