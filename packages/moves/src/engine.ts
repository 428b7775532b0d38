import {
  groupBy, mergeMoveFact, type EndpointView, type EvidenceReport, type MoveFact, type MoveFacts, type Timers
} from '@lentilwheel/core'
import type { Snapshot } from '@lentilwheel/config'
import { Coordinator } from './coordinator.js'
import type { MoveEffect } from './effects.js'
import { LocalMove, type TrafficShare } from './localMove.js'

/**
 * One daemon's part in all moves, that is, gradual shifts of a service's traffic from one version to another. It gives
 * the share of calls for the new version, counts calls as evidence, and coordinates the moves that it is in charge of.
 * It does no I/O itself: `tick` yields what the daemon must publish or send. See docs/moves.md.
 */
export interface MoveEngine {
  /** Takes in a configuration; moves that are no longer in it end here. */
  setConfig (snapshot: Snapshot): void
  /** Takes in the targets of all services that this daemon knows. */
  setEndpoints (endpoints: readonly EndpointView[]): void
  /** How a service's traffic is divided; undefined without a move. Read per call, allocates nothing. */
  shareOf (service: string): TrafficShare | undefined
  /** Counts `n` finished calls (one by default); runs per call, allocates nothing. */
  onCall (service: string, route: string, version: string, ok: boolean, latencyMs: number, n?: number): void
  /** Merges a fact that another daemon published; facts may come in any order and more than once. */
  onFact (fact: MoveFact): void
  /** Takes in another daemon's evidence; ignored unless this daemon coordinates the move. */
  onEvidence (report: EvidenceReport): void
  /** Called every second; `now` is monotonic, `wallNow` Unix milliseconds. */
  tick (now: number, wallNow: number): Generator<MoveEffect>
  /** All facts known about a move. */
  factsOf (move: string): MoveFacts
}

export interface MoveEngineOptions {
  /** Id of this daemon. */
  daemon: string
  /** Whether this daemon coordinates the move now. */
  isCoordinator (move: string): boolean
  /** The clock whose time is passed to `tick` as `now`. */
  timers: Pick<Timers, 'now'>
}

/** Most moves whose facts are kept although the configuration doesn't name them (yet); the oldest are evicted first. */
const MAX_UNKNOWN_FACTS = 1_000

export function createMoveEngine (opts: MoveEngineOptions): MoveEngine {
  return new Engine(opts)
}

class Engine implements MoveEngine {
  readonly #opts: MoveEngineOptions
  readonly #facts = new Map<string, MoveFacts>()
  readonly #moves = new Map<string, LocalMove>()
  readonly #byService = new Map<string, LocalMove>()
  readonly #coordinators = new Map<string, Coordinator>()
  #endpoints: ReadonlyMap<string, EndpointView[]> = new Map()

  constructor (opts: MoveEngineOptions) {
    this.#opts = opts
  }

  setConfig (snapshot: Snapshot): void {
    const { moves, services, routes } = snapshot.config
    for (const id of [...this.#moves.keys()]) if (!Object.hasOwn(moves, id)) this.#removeMove(id)
    for (const [id, cfg] of Object.entries(moves)) {
      const service = services[cfg.service]!
      const routeNames = Object.keys(routes).filter((name) => routes[name]!.service === cfg.service)
      const existing = this.#moves.get(id)
      if (existing?.hasSameScope(cfg, routeNames)) {
        existing.setConfig(cfg, service)
        continue
      }
      this.#removeMove(id)
      const { timers } = this.#opts
      const move = new LocalMove({ id, cfg, service, routes: routeNames, facts: this.factsOf(id), timers })
      move.setEndpoints(this.#endpoints.get(move.service) ?? [])
      this.#moves.set(id, move)
    }
    this.#byService.clear()
    for (const move of this.#moves.values()) this.#byService.set(move.service, move)
  }

  setEndpoints (endpoints: readonly EndpointView[]): void {
    // One pass over all endpoints, whatever the number of moves.
    this.#endpoints = groupBy(endpoints, (endpoint) => endpoint.service)
    for (const move of this.#moves.values()) move.setEndpoints(this.#endpoints.get(move.service) ?? [])
  }

  shareOf (service: string): TrafficShare | undefined {
    return this.#byService.get(service)?.trafficShare
  }

  onCall (service: string, route: string, version: string, ok: boolean, latencyMs: number, n = 1): void {
    this.#byService.get(service)?.onCall(route, version, ok, latencyMs, n)
  }

  onFact (fact: MoveFact): void {
    const known = this.factsOf(fact.move)
    const merged = mergeMoveFact(known, fact)
    if (merged === known) return
    this.#facts.set(fact.move, merged)
    this.#moves.get(fact.move)?.setFacts(merged)
    this.#evictUnknownFacts()
  }

  onEvidence (report: EvidenceReport): void {
    this.#coordinators.get(report.move)?.onEvidence(report)
  }

  factsOf (move: string): MoveFacts {
    return this.#facts.get(move) ?? NO_FACTS
  }

  * tick (now: number, wallNow: number): Generator<MoveEffect> {
    for (const [id, move] of this.#moves) {
      const isCoordinator = this.#opts.isCoordinator(id)
      if (!isCoordinator) this.#coordinators.delete(id)
      yield * this.#reportLocal(move, isCoordinator, now, wallNow)
      if (isCoordinator) yield * this.#coordinate(move, now, wallNow)
    }
  }

  /** Yields this daemon's own rollback, if its breaker has tripped, and its evidence for the coordinator. */
  * #reportLocal (move: LocalMove, isCoordinator: boolean, now: number, wallNow: number): Generator<MoveEffect> {
    const reason = move.checkBreaker(now)
    if (reason !== undefined) {
      const { id, service } = move
      const fact: MoveFact = { kind: 'rollback', move: id, reason, at: wallNow, daemon: this.#opts.daemon }
      yield * this.#applyOwnFacts([{ kind: 'publishFact', fact }])
      yield { kind: 'event', type: 'moveRollback', fields: { move: id, service, reason }, cause: id }
    }
    const report = move.takeReport(this.#opts.daemon)
    if (!report) return
    if (isCoordinator) this.#coordinatorOf(move).onEvidence(report)
    else yield { kind: 'sendEvidence', report }
  }

  * #coordinate (move: LocalMove, now: number, wallNow: number): Generator<MoveEffect> {
    const { cfg, serviceCfg: service } = move
    const input = { now, wallNow, cfg, service, facts: this.factsOf(move.id), stageSeenAt: move.stageSeenAt }
    yield * this.#applyOwnFacts(this.#coordinatorOf(move).tick(input))
  }

  /** Applies own facts here at once, before they reach the other daemons. */
  * #applyOwnFacts (effects: Iterable<MoveEffect>): Generator<MoveEffect> {
    for (const effect of effects) {
      if (effect.kind === 'publishFact') this.onFact(effect.fact)
      yield effect
    }
  }

  #coordinatorOf (move: LocalMove): Coordinator {
    let coordinator = this.#coordinators.get(move.id)
    if (!coordinator) {
      const { from, to } = move.cfg
      const { id, routes, capacity } = move
      coordinator = new Coordinator({ move: id, daemon: this.#opts.daemon, routes, from, to, capacity }, move.oldVersionTotals())
      this.#coordinators.set(move.id, coordinator)
    }
    return coordinator
  }

  #removeMove (id: string): void {
    this.#moves.delete(id)
    this.#coordinators.delete(id)
  }

  #evictUnknownFacts (): void {
    if (this.#facts.size <= MAX_UNKNOWN_FACTS + this.#moves.size) return
    for (const id of this.#facts.keys()) {
      if (this.#moves.has(id)) continue
      this.#facts.delete(id)
      return
    }
  }
}

const NO_FACTS: MoveFacts = {}
