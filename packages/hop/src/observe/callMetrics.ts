import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { HedgeRefusal } from '../outbound/hedging.js'
import type { CallWaits } from './trafficSummary.js'

/** Upper bounds of the buckets of the latency histogram. */
const LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5]

/**
 * `boundPassed`: a target, a caller or a peer sent a message that exceeds a size limit. `callerClosed`: the connection of a caller
 * was closed because it stayed outside the limits. `targetCrash`: the target ended without saying that it leaves.
 */
export type MetricEventName = 'strayBytes' | 'targetConnection' | 'storeCall' | 'badInput' | 'boundPassed' | 'callerClosed' | 'targetCrash'

/**
 * `targetLimit`: requests per second that the target says it takes, -1 for no limit. `targetSent`: requests that it was sent
 * within the last 4 s. `targetSlowdown`: how long work on its machine takes as a multiple of the usual, 1 if it doesn't tell.
 * `queued`: requests that wait for one of the target's `slots`. `unsentBytes`: bytes that wait for the link of this host, or that
 * connections to other daemons have not taken yet. `heldBytes`: bytes that are held for callers, targets and other daemons, as far
 * as they count against the budget. `callers`: open connections of callers. `processorMs`: processor time since the start.
 * `storeEpoch`: epoch of the store as this daemon knows it. `suspects`, `blocked`: requests that may crash targets, and those that
 * are refused because they do. `evacuated`: data centres whose targets get no requests. `quotaGranted`, `quotaExceeded`,
 * `quotaUnknown`: decisions about requests of workspaces since the start. `quotaQuestions`: messages sent to other daemons for them.
 * `quotaLent`: credits lent. `quotaBuckets`: workspaces lent for.
 */
export type MetricStateName = 'configVersion' | 'peersUp' | 'running' | 'queued' | 'slots' | 'unsentBytes' | 'heldBytes' | 'callers' | 'processorMs' | 'targetLimit' | 'targetSent' | 'targetSlowdown' | 'storeEpoch' | 'suspects' | 'blocked' |
  'evacuated' | 'quotaGranted' | 'quotaExceeded' | 'quotaUnknown' | 'quotaQuestions' | 'quotaLent' | 'quotaBuckets'

/** Why a daemon rejects a caller's request before it looks for a target. */
export type RejectionReason = 'noConfiguration' | 'noRoute' | 'unknownKey' | 'keyMissing' | 'quotaExceeded' | 'quotaUnknown'

/** `won`: the caller got the response of the second run; `lost`: it did not. A refusal says why a slow request wasn't hedged. */
export type HedgeOutcome = 'begun' | 'won' | 'lost' | HedgeRefusal

/** Counters, gauges and a latency histogram of one daemon. */
export interface CallMetrics {
  request (route: string, outcome: string, ms: number): void
  /** Adds the time that requests of a route spent in one place. */
  wait (place: keyof CallWaits, route: string, ms: number): void
  /** Adds the offers of a route that this daemon rejected. */
  refusal (route: string, reason: string, count: number): void
  /** Counts a request that this daemon rejected before it looked for a target. */
  rejection (reason: RejectionReason): void
  /** Counts a second run of a slow request, its end, or a slow request that had none. */
  hedge (outcome: HedgeOutcome): void
  event (name: MetricEventName): void
  state (name: MetricStateName, value: number): void
  /** The metrics in the Prometheus text format. */
  text (): Promise<string>
}

/** Keeps the metrics in a Prometheus registry of its own. */
export class PromCallMetrics implements CallMetrics {
  readonly #registry = new Registry()
  readonly #requests = new Counter({
    name: 'lentilwheel_requests_total', help: 'Requests by route and outcome', labelNames: ['route', 'outcome'], registers: [this.#registry]
  })

  readonly #latency = new Histogram({
    name: 'lentilwheel_request_seconds', help: 'Time from a request to its answer', labelNames: ['route'], buckets: LATENCY_BUCKETS_S, registers: [this.#registry]
  })

  readonly #waits = new Counter({
    name: 'lentilwheel_wait_seconds_total', help: 'Time that answered requests spent in one place', labelNames: ['place', 'route'], registers: [this.#registry]
  })

  readonly #refusals = new Counter({
    name: 'lentilwheel_refusals_total', help: 'Offers rejected by the daemon beside the target', labelNames: ['route', 'reason'], registers: [this.#registry]
  })

  readonly #rejections = new Counter({
    name: 'lentilwheel_rejections_total', help: 'Requests of callers rejected before a target was looked for', labelNames: ['reason'], registers: [this.#registry]
  })

  readonly #hedges = new Counter({
    name: 'lentilwheel_hedges_total', help: 'Second runs of slow requests by outcome', labelNames: ['outcome'], registers: [this.#registry]
  })

  readonly #events = new Counter({
    name: 'lentilwheel_events_total', help: 'Other events by name', labelNames: ['event'], registers: [this.#registry]
  })

  readonly #state = new Gauge({
    name: 'lentilwheel_state', help: 'State of the process by name', labelNames: ['name'], registers: [this.#registry]
  })

  request (route: string, outcome: string, ms: number): void {
    this.#requests.inc({ route, outcome })
    this.#latency.observe({ route }, ms / 1000)
  }

  wait (place: keyof CallWaits, route: string, ms: number): void {
    this.#waits.inc({ place, route }, ms / 1000)
  }

  refusal (route: string, reason: string, count: number): void {
    this.#refusals.inc({ route, reason }, count)
  }

  rejection (reason: RejectionReason): void {
    this.#rejections.inc({ reason })
  }

  hedge (outcome: HedgeOutcome): void {
    this.#hedges.inc({ outcome })
  }

  event (name: MetricEventName): void {
    this.#events.inc({ event: name })
  }

  state (name: MetricStateName, value: number): void {
    this.#state.set({ name }, value)
  }

  async text (): Promise<string> {
    return await this.#registry.metrics()
  }
}
