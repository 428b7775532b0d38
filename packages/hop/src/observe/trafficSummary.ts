import type { CallMetrics } from './callMetrics.js'

/**
 * Where the time of a request went, in milliseconds. `placing`: until the offer was sent that got the final reply, offers that
 * were rejected included. `queue`: at the daemon beside the target, for a slot. `target`: at the target. `transit`: the rest of that
 * offer's time, on the way to the target's daemon and back.
 */
export interface CallWaits {
  placing: number
  queue: number
  target: number
  transit: number
}

const WAIT_PLACES = ['placing', 'queue', 'target', 'transit'] as const satisfies readonly (keyof CallWaits)[]

/** What one kind of request met since the last summary; the waits are sums. */
interface RouteTraffic extends CallWaits {
  requests: number
  longestTransit: number
  /** Bytes of the response bodies. */
  bytes: number
  /** Rejected offers and requests, by reason. */
  refusals: Record<string, number>
}

/** What became of the requests of one workspace since the last summary. `rejected`: for lack of room; `overQuota`: with 429. */
export interface WorkspaceTraffic {
  answered: number
  rejected: number
  overQuota: number
}

/** Routes, and workspaces, in one summary, which becomes one log line. */
const MAX_ROUTES = 20
const MAX_WORKSPACES = 20

/**
 * Sums up, for each route, where requests wait, their bytes and what was refused, for metrics and a periodic log line, and for the
 * log line alone what became of the requests of each workspace.
 */
export class TrafficSummary {
  readonly #metrics: Pick<CallMetrics, 'wait' | 'refusal'>
  readonly #routes = new Map<string, RouteTraffic>()
  readonly #workspaces = new Map<string, WorkspaceTraffic>()

  constructor (metrics: Pick<CallMetrics, 'wait' | 'refusal'>) {
    this.#metrics = metrics
  }

  /** Records a request that ended with the response of a target. */
  record (route: string, waits: CallWaits, bytes: number): void {
    const traffic = this.#routeTraffic(route)
    traffic.requests++
    traffic.bytes += bytes
    traffic.longestTransit = Math.max(traffic.longestTransit, waits.transit)
    for (const place of WAIT_PLACES) traffic[place] += waits[place]
  }

  /** Records an offer that was rejected here for a reason. */
  recordRefusal (route: string, reason: string): void {
    const { refusals } = this.#routeTraffic(route)
    refusals[reason] = (refusals[reason] ?? 0) + 1
  }

  /** Records what became of a request of a workspace. */
  recordWorkspace (workspace: string, outcome: keyof WorkspaceTraffic): void {
    let traffic = this.#workspaces.get(workspace)
    if (!traffic) this.#workspaces.set(workspace, traffic = { answered: 0, rejected: 0, overQuota: 0 })
    traffic[outcome]++
  }

  /** Returns the sums of the workspaces with the most requests and starts anew; undefined if there were none. */
  takeWorkspaces (): Record<string, WorkspaceTraffic> | undefined {
    if (this.#workspaces.size === 0) return undefined
    const busiest = [...this.#workspaces].sort(([, a], [, b]) => total(b) - total(a)).slice(0, MAX_WORKSPACES)
    this.#workspaces.clear()
    return Object.fromEntries(busiest)
  }

  /** Returns the sums of the busiest routes, rounded, adds all to the metrics and starts anew; undefined if there was nothing. */
  take (): Record<string, RouteTraffic> | undefined {
    if (this.#routes.size === 0) return undefined
    for (const [route, traffic] of this.#routes) this.#addToMetrics(route, traffic)
    const busiest = [...this.#routes].sort(([, a], [, b]) => b.requests - a.requests).slice(0, MAX_ROUTES)
    this.#routes.clear()
    return Object.fromEntries(busiest.map(([route, traffic]) => [route, rounded(traffic)]))
  }

  /** Metrics get sums, as counting each request there takes more processor time than the rest of its accounting. */
  #addToMetrics (route: string, traffic: RouteTraffic): void {
    for (const place of WAIT_PLACES) this.#metrics.wait(place, route, traffic[place])
    for (const [reason, count] of Object.entries(traffic.refusals)) this.#metrics.refusal(route, reason, count)
  }

  #routeTraffic (route: string): RouteTraffic {
    let traffic = this.#routes.get(route)
    if (!traffic) {
      traffic = { requests: 0, placing: 0, queue: 0, target: 0, transit: 0, longestTransit: 0, bytes: 0, refusals: {} }
      this.#routes.set(route, traffic)
    }
    return traffic
  }
}

function total ({ answered, rejected, overQuota }: WorkspaceTraffic): number {
  return answered + rejected + overQuota
}

function rounded (traffic: RouteTraffic): RouteTraffic {
  const result = { ...traffic }
  for (const key of [...WAIT_PLACES, 'longestTransit'] as const) result[key] = Math.round(result[key])
  return result
}
