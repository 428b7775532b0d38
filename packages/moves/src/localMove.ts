import type { EndpointView, EvidenceReport, MoveFacts, Timers } from '@lentilwheel/core'
import type { Move, Service } from '@lentilwheel/config'
import { Capacity } from './capacity.js'
import { LOCAL_CAP_MS, LOCAL_CAP_SHARE } from './constants.js'
import { RowSum, VersionCounters } from './counters.js'
import type { Cell } from './evidence.js'
import { LocalDefence } from './localDefence.js'

/** Versions of a service in a move and the share of calls that the new one gets. */
export interface Shares {
  readonly from: string
  readonly to: string
  readonly share: number
}

/** Calls older than this have all ended or timed out. */
const SETTLE_MS = 60_000

export interface LocalMoveOptions {
  id: string
  cfg: Move
  service: Service
  routes: readonly string[]
  facts: MoveFacts
  timers: Pick<Timers, 'now'>
}

/** One move as every daemon holds it: the share it sends, what it counted, and its own defence. */
export class LocalMove {
  readonly id: string
  readonly service: string
  readonly routes: readonly string[]
  readonly capacity: Capacity
  readonly shares: { from: string, to: string, share: number }
  cfg: Move
  serviceCfg: Service
  /** When this daemon heard of the stage in force, on its monotonic clock; a coordinator that takes over counts from it. */
  stageSeenAt = 0
  readonly #old: VersionCounters
  readonly #new: VersionCounters
  readonly #past = new Map<string, RowSum>()
  readonly #defence = new LocalDefence()
  readonly #timers: Pick<Timers, 'now'>
  #facts: MoveFacts
  /** When the share last fell, while calls sent before that may still end. */
  #fellAt: number | undefined
  #reportedStage: number | undefined
  #capUntil = -Infinity
  #capped = false

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
    this.shares = { from, to, share: 0 }
    this.capacity = new Capacity(from, to)
    this.#old = new VersionCounters(from, opts.routes)
    this.#new = new VersionCounters(to, opts.routes)
    this.#updateShare()
  }

  /** True while what was counted still belongs to the move as configured. */
  fits (cfg: Move, routes: readonly string[]): boolean {
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
      this.#capped = false
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
    if (this.#fellAt !== undefined && this.#timers.now() - latencyMs < this.#fellAt) return
    if (version === this.shares.to) {
      this.#new.add(route, ok, latencyMs, n)
      if (this.#facts.outcome) return
      this.#defence.onNewCall(ok, n)
      if (this.#defence.trip !== 'none') this.#onTrip()
    } else if (version === this.shares.from) {
      this.#old.add(route, ok, latencyMs, n)
      this.#defence.onOldCall(ok, n)
    }
  }

  /** Reason for a rollback by this daemon alone, once, when its own calls show clear failure. */
  checkDefence (now: number): string | undefined {
    const { trip, tripCalls, tripFailures } = this.#defence
    if (this.#fellAt !== undefined && now - this.#fellAt > SETTLE_MS) this.#fellAt = undefined
    if (this.#capped && now >= this.#capUntil) {
      this.#capped = false
      this.#updateShare()
    }
    if (trip === 'none' || this.#facts.rollback || this.#facts.outcome) return undefined
    if (trip === 'failing') return `${this.shares.to} failed ${tripFailures} of ${tripCalls} calls of one daemon`
    this.#defence.trip = 'none'
    this.#capped = true
    this.#capUntil = now + LOCAL_CAP_MS
    this.#updateShare()
    return undefined
  }

  /** Rows of one route stand together, so that a transport that splits a report keeps both versions in one part. */
  takeReport (daemon: string): EvidenceReport | undefined {
    const stage = this.#reportedStage
    this.#reportedStage = this.#facts.stage?.stage
    const oldRows = this.#old.take()
    const newRows = this.#new.take()
    if (this.#facts.outcome || oldRows.length + newRows.length === 0) return undefined
    for (const row of oldRows) this.#pastOf(row.route).add(row)
    const rows = [...oldRows, ...newRows].sort((a, b) => (a.route < b.route ? -1 : Number(a.route > b.route)))
    return { move: this.id, daemon, ...(stage === undefined ? {} : { stage }), rows }
  }

  /** What this daemon saw of the old version; a coordinator that takes over starts from it. */
  past (): Pick<Cell, 'route' | 'old'>[] {
    return Array.from(this.#past, ([route, old]) => ({ route, old }))
  }

  /** Counts that end at a trip are biased toward failures, so they are no evidence for the fleet's test. */
  #onTrip (): void {
    const before = this.shares.share
    this.#updateShare()
    if (this.shares.share === before) return
    this.#old.discard()
    this.#new.discard()
  }

  #pastOf (route: string): RowSum {
    let sum = this.#past.get(route)
    if (!sum) {
      sum = new RowSum()
      this.#past.set(route, sum)
    }
    return sum
  }

  #updateShare (): void {
    const share = this.#wantedShare()
    if (share === this.shares.share) return
    if (share < this.shares.share) this.#fellAt = this.#timers.now()
    this.shares.share = share
    this.#defence.setShare(share)
  }

  #wantedShare (): number {
    const { rollback, outcome, stage } = this.#facts
    if (rollback || this.cfg.control === 'takeBack') return 0
    if (outcome) return outcome.outcome === 'done' ? 1 : 0
    if (this.#defence.trip === 'failing') return 0
    const share = Math.min(stage?.share ?? 0, this.capacity.bound)
    const capped = this.#capped || this.#defence.trip === 'suspect'
    return capped ? Math.min(share, LOCAL_CAP_SHARE) : share
  }
}
