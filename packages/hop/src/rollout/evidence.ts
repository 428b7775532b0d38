import type { BriefReport, BriefRow } from '@lentilwheel/moves'

/** Result of a request to the target beside this daemon. */
export interface VersionResult {
  route: string
  ok: boolean
  ms: number
  targetLatencyMs: number
}

/** Results of the target beside this daemon that have not been reported yet. */
export class Evidence {
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

  /** Hands out what has been gathered; undefined when there is nothing. */
  take (daemon: string): BriefReport | undefined {
    if (this.#rows.size === 0) return undefined
    const report = { service: this.#service, daemon, rows: [...this.#rows.values()] }
    this.#rows = new Map()
    return report
  }
}
