import type { EndpointView, EvidenceReport, MoveFacts, Timers } from '@lentilwheel/core'
import type { Move, Service } from '@lentilwheel/config'
import { Capacity } from './capacity.js'
import { LOCAL_CAP_MS, LOCAL_CAP_SHARE } from './constants.js'
import { CallTotals, VersionCounters } from './counters.js'
import type { Stratum } from './evidence.js'
import { LocalBreaker } from './localBreaker.js'

/** How a move divides a service's traffic between its versions. */
export interface TrafficShare {
  readonly from: string
  readonly to: string
  /** Share of the calls that go to `to`, 0 to 1. */
  readonly share: number
}

/** Longest time that a call takes; calls that started earlier have ended or timed out. */
const MAX_CALL_MS = 60_000

export interface LocalMoveOptions {
  id: string
  cfg: Move
  service: Service
  routes: readonly string[]
  facts: MoveFacts
  timers: Pick<Timers, 'now'>
}

/**
 * One move on every daemon, coordinator or not: derives the share of calls for the new version from the facts, counts
 * the daemon's own calls as evidence, and stops calls to a new version that clearly fails without waiting for the
 * coordinator.
 */
export class LocalMove {
  readonly id: string
  readonly service: string
  readonly routes: readonly string[]
  readonly capacity: Capacity
  readonly trafficShare: { from: string, to: string, share: number }
  cfg: Move
  serviceCfg: Service
  /** When this daemon learned of the current stage, in monotonic milliseconds; a coordinator that takes over counts from it. */
  stageSeenAt = 0
  readonly #old: VersionCounters
  readonly #new: VersionCounters
  /** All calls of the old version counted here during the move, by route. */
  readonly #oldTotals = new Map<string, CallTotals>()
  readonly #breaker = new LocalBreaker()
  readonly #timers: Pick<Timers, 'now'>
  #facts: MoveFacts
  /** When the share last fell; undefined once calls sent before that have all ended. */
  #shareReducedAt: number | undefined
  #stageAtLastReport: number | undefined
  #cappedUntil = -Infinity
  #isCapped = false

  constructor (opts: LocalMoveOptions) {
    this.#timers = opts.timers
    this.id = opts.id
    this.cfg = opts.cfg
    this.service = opts.cfg.service
    this.serviceCfg = opts.service
    this.routes = opts.routes
    this.#facts = opts.facts
    this.stageSeenAt = opts.timers.now()
    const { from, to } = opts.cfg
    this.trafficShare = { from, to, share: 0 }
    this.capacity = new Capacity(from, to)
    this.#old = new VersionCounters(from, opts.routes)
    this.#new = new VersionCounters(to, opts.routes)
    this.#updateShare()
  }

  /** True if service, versions and routes are unchanged, so that the counts remain valid. */
  hasSameScope (cfg: Move, routes: readonly string[]): boolean {
    return cfg.service === this.service && cfg.from === this.cfg.from && cfg.to === this.cfg.to &&
      routes.join(' ') === this.routes.join(' ')
  }

  setConfig (cfg: Move, service: Service): void {
    this.cfg = cfg
    this.serviceCfg = service
    this.#updateShare()
  }

  setEndpoints (endpoints: readonly EndpointView[]): void {
    this.capacity.update(endpoints)
    this.#updateShare()
  }

  setFacts (facts: MoveFacts): void {
    if (facts.stage !== this.#facts.stage) {
      this.#isCapped = false
      this.stageSeenAt = this.#timers.now()
    }
    this.#facts = facts
    this.#updateShare()
  }

  /**
   * Counts a call. A call sent before the share fell is left out: hung calls of the larger share would otherwise look
   * like failures of the new version alone.
   */
  onCall (route: string, version: string, ok: boolean, latencyMs: number, n: number): void {
    if (this.#shareReducedAt !== undefined && this.#timers.now() - latencyMs < this.#shareReducedAt) return
    if (version === this.trafficShare.to) {
      this.#new.add(route, ok, latencyMs, n)
      if (this.#facts.outcome) return
      this.#breaker.onNewCall(ok, n)
      if (this.#breaker.trip !== 'none') this.#onTrip()
    } else if (version === this.trafficShare.from) {
      this.#old.add(route, ok, latencyMs, n)
      this.#breaker.onOldCall(ok, n)
    }
  }

  /**
   * Returns the reason for a rollback if this daemon's own calls show that the new version fails. A mere suspicion caps
   * the share for LOCAL_CAP_MS instead, at which the versions can be compared.
   */
  checkBreaker (now: number): string | undefined {
    const { trip, tripCalls, tripFailures } = this.#breaker
    if (this.#shareReducedAt !== undefined && now - this.#shareReducedAt > MAX_CALL_MS) this.#shareReducedAt = undefined
    if (this.#isCapped && now >= this.#cappedUntil) {
      this.#isCapped = false
      this.#updateShare()
    }
    if (trip === 'none' || this.#facts.rollback || this.#facts.outcome) return undefined
    if (trip === 'failing') return `${this.trafficShare.to} failed ${tripFailures} of ${tripCalls} calls of one daemon`
    this.#breaker.trip = 'none'
    this.#isCapped = true
    this.#cappedUntil = now + LOCAL_CAP_MS
    this.#updateShare()
    return undefined
  }

  /** Counts since the last report, sorted by route, so that a report split in transport keeps both versions together. */
  takeReport (daemon: string): EvidenceReport | undefined {
    const stage = this.#stageAtLastReport
    this.#stageAtLastReport = this.#facts.stage?.stage
    const oldRows = this.#old.take()
    const newRows = this.#new.take()
    if (this.#facts.outcome || oldRows.length + newRows.length === 0) return undefined
    for (const row of oldRows) this.#oldTotalsOf(row.route).add(row)
    const rows = [...oldRows, ...newRows].sort((a, b) => (a.route < b.route ? -1 : Number(a.route > b.route)))
    return { move: this.id, daemon, ...(stage === undefined ? {} : { stage }), rows }
  }

  /** All calls of the old version counted here, by route; a coordinator on this daemon starts its baseline from them. */
  oldVersionTotals (): Pick<Stratum, 'route' | 'old'>[] {
    return Array.from(this.#oldTotals, ([route, old]) => ({ route, old }))
  }

  /**
   * Lowers the share at once. Counts that end at a trip are biased toward failures, so they are discarded rather than
   * reported as evidence to the coordinator.
   */
  #onTrip (): void {
    const shareBefore = this.trafficShare.share
    this.#updateShare()
    if (this.trafficShare.share === shareBefore) return
    this.#old.discard()
    this.#new.discard()
  }

  #oldTotalsOf (route: string): CallTotals {
    let totals = this.#oldTotals.get(route)
    if (!totals) {
      totals = new CallTotals()
      this.#oldTotals.set(route, totals)
    }
    return totals
  }

  #updateShare (): void {
    const share = this.#computeShare()
    if (share === this.trafficShare.share) return
    if (share < this.trafficShare.share) this.#shareReducedAt = this.#timers.now()
    this.trafficShare.share = share
    this.#breaker.setShare(share)
  }

  /** The share by facts and configuration, limited by ready targets and by the breaker. */
  #computeShare (): number {
    const { rollback, outcome, stage } = this.#facts
    if (rollback || this.cfg.control === 'takeBack') return 0
    if (outcome) return outcome.outcome === 'done' ? 1 : 0
    if (this.#breaker.trip === 'failing') return 0
    const share = Math.min(stage?.share ?? 0, this.capacity.maxShare)
    const isCapped = this.#isCapped || this.#breaker.trip === 'suspect'
    return isCapped ? Math.min(share, LOCAL_CAP_SHARE) : share
  }
}
