import {
  groupBy, mergeMoveFact, type EndpointView, type EvidenceReport, type MoveFact, type MoveFacts, type Timers
} from '@lentilwheel/core'
import type { Snapshot } from '@lentilwheel/config'
import { Coordinator } from './coordinator.js'
import type { MoveEffect } from './effects.js'
import { LocalMove, type Shares } from './localMove.js'

/** One daemon's part in all moves; see docs/moves.md. */
export interface MoveEngine {
  setConfig (snapshot: Snapshot): void
  setEndpoints (endpoints: readonly EndpointView[]): void
  /** Versions and share of a service in a move; read per call, allocates nothing. */
  shareOf (service: string): Shares | undefined
  /** Counts `n` calls (one by default); runs per call, allocates nothing. */
  onCall (service: string, route: string, version: string, ok: boolean, latencyMs: number, n?: number): void
  onFact (fact: MoveFact): void
  onEvidence (report: EvidenceReport): void
  /** Called every second; `now` is monotonic, `wallNow` Unix milliseconds. */
  tick (now: number, wallNow: number): Generator<MoveEffect>
  factsOf (move: string): MoveFacts
}

export interface MoveEngineOptions {
  /** Id of this daemon. */
  daemon: string
  /** Whether this daemon coordinates the move now. */
  isCoordinator (move: string): boolean
  /** The clock that `tick` is called by. */
  timers: Pick<Timers, 'now'>
}

/** Facts kept for moves that aren't in the configuration (yet); the oldest go first. */
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
    for (const id of [...this.#moves.keys()]) if (!Object.hasOwn(moves, id)) this.#drop(id)
    for (const [id, cfg] of Object.entries(moves)) {
      const service = services[cfg.service]!
      const names = Object.keys(routes).filter((name) => routes[name]!.service === cfg.service)
      const held = this.#moves.get(id)
      if (held?.fits(cfg, names)) {
        held.setConfig(cfg, service)
        continue
      }
      this.#drop(id)
      const { timers } = this.#opts
      const move = new LocalMove({ id, cfg, service, routes: names, facts: this.factsOf(id), timers })
      move.setEndpoints(this.#endpoints.get(move.service) ?? [])
      this.#moves.set(id, move)
    }
    this.#byService.clear()
    for (const move of this.#moves.values()) this.#byService.set(move.service, move)
  }

  setEndpoints (endpoints: readonly EndpointView[]): void {
    this.#endpoints = groupBy(endpoints, (endpoint) => endpoint.service)
    for (const move of this.#moves.values()) move.setEndpoints(this.#endpoints.get(move.service) ?? [])
  }

  shareOf (service: string): Shares | undefined {
    return this.#byService.get(service)?.shares
  }

  onCall (service: string, route: string, version: string, ok: boolean, latencyMs: number, n = 1): void {
    this.#byService.get(service)?.onCall(route, version, ok, latencyMs, n)
  }

  onFact (fact: MoveFact): void {
    const before = this.factsOf(fact.move)
    const merged = mergeMoveFact(before, fact)
    if (merged === before) return
    this.#facts.set(fact.move, merged)
    this.#moves.get(fact.move)?.setFacts(merged)
    this.#forgetUnknownFacts()
  }

  onEvidence (report: EvidenceReport): void {
    this.#coordinators.get(report.move)?.onEvidence(report)
  }

  factsOf (move: string): MoveFacts {
    return this.#facts.get(move) ?? NO_FACTS
  }

  * tick (now: number, wallNow: number): Generator<MoveEffect> {
    for (const [id, move] of this.#moves) {
      const coordinates = this.#opts.isCoordinator(id)
      if (!coordinates) this.#coordinators.delete(id)
      yield * this.#tickLocal(move, coordinates, now, wallNow)
      if (coordinates) yield * this.#coordinate(move, now, wallNow)
    }
  }

  * #tickLocal (move: LocalMove, coordinates: boolean, now: number, wallNow: number): Generator<MoveEffect> {
    const reason = move.checkDefence(now)
    if (reason !== undefined) {
      const { id, service } = move
      const fact: MoveFact = { kind: 'rollback', move: id, reason, at: wallNow, daemon: this.#opts.daemon }
      yield * this.#publish([{ kind: 'publishFact', fact }])
      yield { kind: 'event', type: 'moveRollback', fields: { move: id, service, reason }, cause: id }
    }
    const report = move.takeReport(this.#opts.daemon)
    if (!report) return
    if (coordinates) this.#coordinatorOf(move).onEvidence(report)
    else yield { kind: 'sendEvidence', report }
  }

  * #coordinate (move: LocalMove, now: number, wallNow: number): Generator<MoveEffect> {
    const { cfg, serviceCfg: service } = move
    const input = { now, wallNow, cfg, service, facts: this.factsOf(move.id), stageSeenAt: move.stageSeenAt }
    yield * this.#publish(this.#coordinatorOf(move).tick(input))
  }

  /** Own facts are in force here at once, before the mesh spreads them. */
  * #publish (effects: Iterable<MoveEffect>): Generator<MoveEffect> {
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
      coordinator = new Coordinator({ move: id, daemon: this.#opts.daemon, routes, from, to, capacity }, move.past())
      this.#coordinators.set(move.id, coordinator)
    }
    return coordinator
  }

  #drop (id: string): void {
    this.#moves.delete(id)
    this.#coordinators.delete(id)
  }

  #forgetUnknownFacts (): void {
    if (this.#facts.size <= MAX_UNKNOWN_FACTS + this.#moves.size) return
    for (const id of this.#facts.keys()) {
      if (this.#moves.has(id)) continue
      this.#facts.delete(id)
      return
    }
  }
}

/** One pass over all endpoints, whatever the number of moves. */
const NO_FACTS: MoveFacts = {}
