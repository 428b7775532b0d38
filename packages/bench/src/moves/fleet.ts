import type { EndpointView, EvidenceReport, MoveFact, MoveFacts, TimelineEvent } from '@lentilwheel/core'
import { buildSnapshot, checkConfig, rootHash, toObjects, type MoveControl, type Snapshot } from '@lentilwheel/config'
import { createMoveEngine, type MoveEngine } from '@lentilwheel/moves'
import { NEW, OLD, SERVICE } from './calls.js'
import { HOLD_SECONDS, PROFILES, ROUTES, type ProfileName } from './kinds.js'

export const MOVE = 'orders-v2'

export type FleetEvent = Pick<TimelineEvent, 'type' | 'fields'> & { second: number }

export interface FleetOptions {
  profile: ProfileName
  /** Unix milliseconds of the deadline. */
  by: number
  /** Wall clock of each daemon against the true time, in milliseconds. */
  skewMs?: (daemon: number) => number
}

/**
 * The move engines of all daemons of one service. Evidence and facts go between them directly: evidence within the
 * second in which it was counted, facts to half of the daemons at once and to the others a second later.
 */
export class Fleet {
  readonly engines: MoveEngine[]
  readonly events: FleetEvent[] = []
  /** Daemons that act as coordinator; one as a rule, several or none in fault cases. */
  coordinators: ReadonlySet<number> = new Set([0])
  /** Daemons that neither tick nor hear facts or evidence. */
  readonly stopped = new Set<number>()
  readonly #opts: FleetOptions
  #snapshot: Snapshot
  #nowMs = 0
  #late: { fact: MoveFact, daemon: number }[] = []

  constructor (opts: FleetOptions) {
    this.#opts = opts
    this.#snapshot = moveSnapshot(opts.profile, opts.by, 'run')
    const count = PROFILES[opts.profile].daemons
    this.engines = Array.from({ length: count }, (_, i) => this.#newEngine(i))
  }

  configure (control: MoveControl): void {
    this.#snapshot = moveSnapshot(this.#opts.profile, this.#opts.by, control)
    for (const engine of this.engines) engine.setConfig(this.#snapshot)
  }

  setEndpoints (endpoints: readonly EndpointView[]): void {
    for (const engine of this.engines) engine.setEndpoints(endpoints)
  }

  /** Moves the clock to the middle of a second, in which its calls end. */
  startSecond (second: number): void {
    this.#nowMs = second * 1000 + 500
  }

  /** Ends one second: every daemon reports, then the coordinators decide. */
  tick (second: number): void {
    this.#nowMs = second * 1000
    this.#deliverLate()
    const members = this.engines.map((_, i) => i).filter((i) => !this.stopped.has(i))
    const last = (i: number): number => (this.coordinators.has(i) ? 1 : 0)
    for (const i of members.sort((a, b) => last(a) - last(b))) this.#tickOne(i, second)
  }

  /** Facts as a running daemon holds them. */
  facts (): MoveFacts {
    return this.engines.find((_, i) => !this.stopped.has(i))!.factsOf(MOVE)
  }

  /** Replaces a daemon by a new one that knows nothing but the facts that another one holds. */
  restart (daemon: number, teacher: number): void {
    const facts = this.engines[teacher]!.factsOf(MOVE)
    this.engines[daemon] = this.#newEngine(daemon)
    for (const fact of Object.values(facts)) this.engines[daemon]!.onFact(fact)
  }

  #newEngine (i: number): MoveEngine {
    const timers = { now: (): number => this.#nowMs }
    const engine = createMoveEngine({ daemon: `d${i}`, isCoordinator: () => this.coordinators.has(i), timers })
    engine.setConfig(this.#snapshot)
    return engine
  }

  #tickOne (i: number, second: number): void {
    const wall = second * 1000 + (this.#opts.skewMs?.(i) ?? 0)
    for (const effect of this.engines[i]!.tick(second * 1000, wall)) {
      if (effect.kind === 'publishFact') this.#spread(effect.fact, i)
      else if (effect.kind === 'sendEvidence') this.#report(effect.report)
      else this.events.push({ type: effect.type, fields: effect.fields, second })
    }
  }

  #report (report: EvidenceReport): void {
    for (const coordinator of this.coordinators) {
      if (this.stopped.has(coordinator)) continue
      this.engines[coordinator]!.onEvidence(report)
      return
    }
  }

  #spread (fact: MoveFact, from: number): void {
    this.engines.forEach((engine, i) => {
      if ((i + from) % 2 === 0 && !this.stopped.has(i)) engine.onFact(fact)
      else this.#late.push({ fact, daemon: i })
    })
  }

  #deliverLate (): void {
    const due = this.#late.filter(({ daemon }) => !this.stopped.has(daemon))
    this.#late = this.#late.filter(({ daemon }) => this.stopped.has(daemon))
    for (const { fact, daemon } of due) this.engines[daemon]!.onFact(fact)
  }
}

function moveSnapshot (profile: ProfileName, by: number, control: MoveControl): Snapshot {
  const { slots, connections } = PROFILES[profile]
  const config = checkConfig({
    services: { [SERVICE]: { versions: [OLD, NEW], current: OLD, profile, slots, connections } },
    routes: Object.fromEntries(ROUTES.map(({ name }) => [name, { service: SERVICE, path: `/${name}` }])),
    moves: {
      [MOVE]: {
        service: SERVICE, from: OLD, to: NEW, by: new Date(by).toISOString(), hold: `${HOLD_SECONDS}s`, control
      }
    }
  })
  const objects = toObjects(config)
  return buildSnapshot({ version: 1, changeId: 'c1', acceptedAt: 0, rootHash: rootHash(objects.values()) }, objects)
}
