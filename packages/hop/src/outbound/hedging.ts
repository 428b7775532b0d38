import type { MeshRoute } from '../routing/meshConfig.js'
import type { Candidate } from './costEstimate.js'
import { HedgeCredit } from './hedgeCredit.js'
import { RecentLatencies } from './recentLatencies.js'
import type { RetryBudget } from './retryBudget.js'

/** What operators allow of hedging, which runs a request a second time because its first run is slow. */
export interface HedgingLimits {
  /** Hedges as a share of the requests for a service, 0 to 1; 0 for none. */
  maxShare: number
}

/** Where a hedge may run: only where a slot is free, or also in the queue of a target. */
export type HedgePlacement = 'freeSlot' | 'any'
/** Why a request isn't hedged: the share of hedges or the retry budget is used up, or the service has little room left. */
export type HedgeRefusal = 'overShare' | 'overBudget' | 'shortage'
export type HedgeDecision =
  | { kind: 'granted', placement: HedgePlacement }
  | { kind: 'refused', reason: HedgeRefusal }

/** What the decision on a hedge needs to know. */
export interface HedgeRequest {
  service: string
  /** Lower is more urgent. */
  urgency: number
  /** Number of daemons that share the retry budget. */
  daemons: number
  now: number
  /** Whether a target that may run the hedge is known to have a free slot. */
  hasFreeTarget: boolean
  /** Share of the slots of the service in use, by the loads heard lately. */
  utilisation (): number
}

/** Decides when a request is hedged, and whether it may be. */
export interface HedgePolicy {
  /** Counts a request for a service. */
  recordRequest (service: string): void
  /** Records the time that the first run of an answered request took; if its hedge was faster, the time until then. */
  recordLatency (route: MeshRoute, ms: number): void
  /** Milliseconds without a reply after which a request at the candidate, one of `candidates`, is hedged; Infinity for never. */
  delayMs (route: MeshRoute, candidate: Candidate, candidates: readonly Candidate[]): number
  /** Takes a hedge from the limits, if they allow it. */
  tryWithdraw (request: HedgeRequest): HedgeDecision
  /** Drops what is kept for routes that no longer exist. */
  retain (routes: ReadonlySet<string>): void
}

/** Latest time at which a request is hedged, as a fraction of the target latency: the second answer may still be in time. */
const MAX_DELAY = 0.9
/** Earliest time: before it, even a target known to be slow may well answer within the target latency. */
const MIN_DELAY = 0.25
/** Bounds of the quantile of the latencies at which requests are hedged: below the lower one, fewer hedges win. */
const MIN_QUANTILE = 0.95
const MAX_QUANTILE = 0.99
/** Share of the slots of a service in use above which it has no room for hedges; without this bound, fewer requests are served under overload. */
const MAX_UTILISATION = 0.8

/** Used where operators set no limit: hedges after a fixed time, as far as the retry budget allows. */
export class FixedDelayPolicy implements HedgePolicy {
  readonly #budget: Pick<RetryBudget, 'tryWithdraw'>

  constructor (budget: Pick<RetryBudget, 'tryWithdraw'>) {
    this.#budget = budget
  }

  recordRequest (): void {}

  recordLatency (): void {}

  delayMs ({ targetLatencyMs }: MeshRoute): number {
    return MAX_DELAY * targetLatencyMs
  }

  tryWithdraw ({ service, urgency, daemons, now }: HedgeRequest): HedgeDecision {
    const isGranted = this.#budget.tryWithdraw(service, urgency, daemons, now)
    return isGranted ? { kind: 'granted', placement: 'any' } : { kind: 'refused', reason: 'overBudget' }
  }

  retain (): void {}
}

/**
 * Used where operators set a limit: hedges the slowest requests of a route, as many as the limit allows, and sooner those at a
 * target that is slower than others. Gives way to first runs, for which it leaves the queues and the last free slots, and to retries.
 */
export class LimitedSharePolicy implements HedgePolicy {
  readonly #budget: Pick<RetryBudget, 'tryWithdrawHedge'>
  readonly #maxShare: number
  readonly #credit = new HedgeCredit()
  readonly #latencies = new Map<string, RecentLatencies>()

  constructor (budget: Pick<RetryBudget, 'tryWithdrawHedge'>, { maxShare }: HedgingLimits) {
    this.#budget = budget
    this.#maxShare = maxShare
  }

  recordRequest (service: string): void {
    this.#credit.earn(service, this.#maxShare)
  }

  recordLatency ({ name, targetLatencyMs }: MeshRoute, ms: number): void {
    let latencies = this.#latencies.get(name)
    // Hedging as many requests as are slower than this spends the share on the slowest ones.
    if (!latencies) this.#latencies.set(name, latencies = new RecentLatencies(Math.min(MAX_QUANTILE, Math.max(MIN_QUANTILE, 1 - this.#maxShare))))
    latencies.record(ms / targetLatencyMs)
  }

  delayMs ({ name, targetLatencyMs }: MeshRoute, candidate: Candidate, candidates: readonly Candidate[]): number {
    if (this.#maxShare === 0) return Infinity
    const usual = this.#latencies.get(name)?.value ?? MAX_DELAY
    const delay = usual / Math.max(1, slowness(candidate, candidates))
    return targetLatencyMs * Math.min(MAX_DELAY, Math.max(MIN_DELAY, delay))
  }

  tryWithdraw ({ service, urgency, daemons, now, hasFreeTarget, utilisation }: HedgeRequest): HedgeDecision {
    if (!hasFreeTarget || utilisation() > MAX_UTILISATION) return { kind: 'refused', reason: 'shortage' }
    if (!this.#credit.suffices(service)) return { kind: 'refused', reason: 'overShare' }
    if (!this.#budget.tryWithdrawHedge(service, urgency, daemons, now)) return { kind: 'refused', reason: 'overBudget' }
    this.#credit.spend(service)
    return { kind: 'granted', placement: 'freeSlot' }
  }

  retain (routes: ReadonlySet<string>): void {
    for (const name of this.#latencies.keys()) if (!routes.has(name)) this.#latencies.delete(name)
  }
}

/** Holds the policy by the operators' settings, which may change while the daemon runs. */
export class Hedging {
  readonly #budget: RetryBudget
  #maxShare: number | undefined
  #policy: HedgePolicy

  constructor (budget: RetryBudget, limits: HedgingLimits | undefined) {
    this.#budget = budget
    this.#maxShare = limits?.maxShare
    this.#policy = createPolicy(budget, limits)
  }

  get policy (): HedgePolicy {
    return this.#policy
  }

  /** Applies changed limits; latencies are learned anew, as another share needs another quantile of them. */
  setLimits (limits: HedgingLimits | undefined): void {
    if (limits?.maxShare === this.#maxShare) return
    this.#maxShare = limits?.maxShare
    this.#policy = createPolicy(this.#budget, limits)
  }
}

function createPolicy (budget: RetryBudget, limits: HedgingLimits | undefined): HedgePolicy {
  return limits ? new LimitedSharePolicy(budget, limits) : new FixedDelayPolicy(budget)
}

/** Estimated run time at a target, as a multiple of the mean of the candidates. */
function slowness ({ runMs }: Candidate, candidates: readonly Candidate[]): number {
  const sumMs = candidates.reduce((sum, candidate) => sum + candidate.runMs, 0)
  return sumMs > 0 ? runMs * candidates.length / sumMs : 1
}
