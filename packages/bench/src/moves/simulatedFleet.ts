import type { EndpointView, EvidenceReport, MoveFact, MoveFacts, TimelineEvent } from '@lentilwheel/core'
import { buildSnapshot, checkConfig, rootHash, toObjects, type MoveControl, type Snapshot } from '@lentilwheel/config'
import { createMoveEngine, type MoveEngine } from '@lentilwheel/moves'
import { NEW_VERSION, OLD_VERSION, SERVICE } from './callGenerator.js'
import { HOLD_SECONDS, PROFILES, ROUTES, type ProfileName } from './kinds.js'

export const MOVE_ID = 'orders-v2'

/** An event of the timeline and the Unix second in which it was recorded. */
export type SimulatedEvent = Pick<TimelineEvent, 'type' | 'fields'> & { second: number }

export interface SimulatedFleetOptions {
  profile: ProfileName
  /** Deadline of the move in Unix milliseconds. */
  deadlineMs: number
  /** Offset of a daemon's wall clock from the true time. */
  skewMs?: (daemon: number) => number
}

/**
 * The move engines of a fleet's daemons on a virtual clock, for one move of one service. Evidence reaches the
 * coordinator within the second in which it was counted. Facts reach half of the daemons at once and the others a
 * second later, as propagation through a real fleet isn't immediate.
 */
export class SimulatedFleet {
  readonly engines: MoveEngine[]
  readonly events: SimulatedEvent[] = []
  /** Daemons that consider themselves the coordinator: normally one; several or none in fault cases. */
  coordinators: ReadonlySet<number> = new Set([0])
  /** Paused daemons: they neither tick nor receive facts or evidence. */
  readonly stoppedDaemons = new Set<number>()
  readonly #opts: SimulatedFleetOptions
  #snapshot: Snapshot
  #nowMs = 0
  #delayedFacts: { fact: MoveFact, daemon: number }[] = []

  constructor (opts: SimulatedFleetOptions) {
    this.#opts = opts
    this.#snapshot = moveSnapshot(opts.profile, opts.deadlineMs, 'run')
    const count = PROFILES[opts.profile].daemons
    this.engines = Array.from({ length: count }, (_, i) => this.#newEngine(i))
  }

  setControl (control: MoveControl): void {
    this.#snapshot = moveSnapshot(this.#opts.profile, this.#opts.deadlineMs, control)
    for (const engine of this.engines) engine.setConfig(this.#snapshot)
  }

  setEndpoints (endpoints: readonly EndpointView[]): void {
    for (const engine of this.engines) engine.setEndpoints(endpoints)
  }

  /** Sets the clock to the middle of a second, when the calls of that second end. */
  startSecond (second: number): void {
    this.#nowMs = second * 1000 + 500
  }

  /** Ends a second: ticks every running daemon, the coordinators last, as they decide on the evidence of the others. */
  tick (second: number): void {
    this.#nowMs = second * 1000
    this.#deliverDelayedFacts()
    const members = this.engines.map((_, i) => i).filter((i) => !this.stoppedDaemons.has(i))
    const rank = (i: number): number => (this.coordinators.has(i) ? 1 : 0)
    for (const i of members.sort((a, b) => rank(a) - rank(b))) this.#tickDaemon(i, second)
  }

  /** Facts of the move as the first running daemon knows them. */
  facts (): MoveFacts {
    return this.engines.find((_, i) => !this.stoppedDaemons.has(i))!.factsOf(MOVE_ID)
  }

  /** Restarts a daemon: its new engine knows only the facts that it gets from a peer. */
  restart (daemon: number, peer: number): void {
    const facts = this.engines[peer]!.factsOf(MOVE_ID)
    this.engines[daemon] = this.#newEngine(daemon)
    for (const fact of Object.values(facts)) this.engines[daemon]!.onFact(fact)
  }

  #newEngine (i: number): MoveEngine {
    const timers = { now: (): number => this.#nowMs }
    const engine = createMoveEngine({ daemon: `d${i}`, isCoordinator: () => this.coordinators.has(i), timers })
    engine.setConfig(this.#snapshot)
    return engine
  }

  #tickDaemon (i: number, second: number): void {
    const wallMs = second * 1000 + (this.#opts.skewMs?.(i) ?? 0)
    for (const effect of this.engines[i]!.tick(second * 1000, wallMs)) {
      if (effect.kind === 'publishFact') this.#publishFact(effect.fact, i)
      else if (effect.kind === 'sendEvidence') this.#sendEvidence(effect.report)
      else this.events.push({ type: effect.type, fields: effect.fields, second })
    }
  }

  #sendEvidence (report: EvidenceReport): void {
    for (const coordinator of this.coordinators) {
      if (this.stoppedDaemons.has(coordinator)) continue
      this.engines[coordinator]!.onEvidence(report)
      return
    }
  }

  #publishFact (fact: MoveFact, from: number): void {
    this.engines.forEach((engine, i) => {
      if ((i + from) % 2 === 0 && !this.stoppedDaemons.has(i)) engine.onFact(fact)
      else this.#delayedFacts.push({ fact, daemon: i })
    })
  }

  #deliverDelayedFacts (): void {
    const due = this.#delayedFacts.filter(({ daemon }) => !this.stoppedDaemons.has(daemon))
    this.#delayedFacts = this.#delayedFacts.filter(({ daemon }) => this.stoppedDaemons.has(daemon))
    for (const { fact, daemon } of due) this.engines[daemon]!.onFact(fact)
  }
}

function moveSnapshot (profile: ProfileName, deadlineMs: number, control: MoveControl): Snapshot {
  const { slots, connections } = PROFILES[profile]
  const config = checkConfig({
    services: { [SERVICE]: { versions: [OLD_VERSION, NEW_VERSION], current: OLD_VERSION, profile, slots, connections } },
    routes: Object.fromEntries(ROUTES.map(({ name }) => [name, { service: SERVICE, path: `/${name}` }])),
    moves: {
      [MOVE_ID]: {
        service: SERVICE, from: OLD_VERSION, to: NEW_VERSION, by: new Date(deadlineMs).toISOString(), hold: `${HOLD_SECONDS}s`, control
      }
    }
  })
  const objects = toObjects(config)
  return buildSnapshot({ version: 1, changeId: 'c1', acceptedAt: 0, rootHash: rootHash(objects.values()) }, objects)
}
