import type { BriefRow } from '@lentilwheel/moves'

/** Result of one request that the target beside this daemon ran. */
export interface RequestResult {
  route: string
  ok: boolean
  /** Duration of the request. */
  ms: number
  targetLatencyMs: number
}

/** Results of a service's versions by version and route. */
export interface VersionResults {
  service: string
  rows: BriefRow[]
}

/** Sums up the results of the target beside this daemon by version and route until they are reported. */
export class ResultAggregator {
  #rows = new Map<string, BriefRow>()
  #service = ''

  add (result: { service: string, version: string, route: string, ok: boolean, slow: boolean, ms: number }): void {
    const { service, version, route, ok, slow, ms } = result
    if (service !== this.#service) this.#rows.clear()
    this.#service = service
    const key = `${version} ${route}`
    const row = this.#rows.get(key) ?? { route, version, calls: 0, errors: 0, slow: 0, ms: 0 }
    row.calls++
    if (!ok) row.errors++
    else if (slow) row.slow++
    row.ms += ms
    this.#rows.set(key, row)
  }

  /** Returns the results since the last call and starts over; undefined if there are none. */
  drain (): VersionResults | undefined {
    if (this.#rows.size === 0) return undefined
    const results = { service: this.#service, rows: [...this.#rows.values()] }
    this.#rows = new Map()
    return results
  }
}
