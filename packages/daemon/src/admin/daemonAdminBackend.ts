import type { EventLog, MemoryMetrics, MoveFacts, TimelineEvent, Timers } from '@lentilwheel/core'
import { EMPTY_SNAPSHOT, type Snapshot } from '@lentilwheel/config'
import type { Mesh } from '@lentilwheel/mesh'
import type { MoveEngine } from '@lentilwheel/moves'
import { toMoveRecord, type MoveRecord } from '@lentilwheel/platform'
import { countTargets } from '../status/countTargets.js'
import type { AdminBackend, DaemonStatus, FleetEvents, FleetStatus, TakeBackAnswer } from './app.js'

export interface DaemonAdminBackendOptions {
  id: string
  dataCentre: string
  mesh: Mesh
  engine: MoveEngine
  events: EventLog
  counters: MemoryMetrics
  timers: Timers
}

/** Serves the admin API from the mesh, event log and counters of one daemon. */
export class DaemonAdminBackend implements AdminBackend {
  readonly #opts: DaemonAdminBackendOptions
  #activeSnapshot: Snapshot = EMPTY_SNAPSHOT
  #activeSince: number | undefined

  constructor (opts: DaemonAdminBackendOptions) {
    this.#opts = opts
  }

  /** Sets the configuration version by which calls are routed, and records when it became active. */
  setActiveSnapshot (snapshot: Snapshot): void {
    if (snapshot.version === this.#activeSnapshot.version) return
    this.#activeSnapshot = snapshot
    this.#activeSince = this.#opts.timers.wallNow()
    const { version, rootHash, changeId } = snapshot
    this.#opts.events.record('versionInForce', { version, rootHash }, changeId)
  }

  status (): DaemonStatus {
    const { id, dataCentre, mesh } = this.#opts
    const members = mesh.members()
    return {
      daemon: id,
      dataCentre,
      version: this.#activeSnapshot.version,
      rootHash: this.#activeSnapshot.rootHash,
      ...(this.#activeSince === undefined ? {} : { since: this.#activeSince }),
      ...mesh.readiness(),
      relay: members.some((member) => member.id === id && member.isRelay),
      members: members.length,
      targets: countTargets(mesh.endpoints())
    }
  }

  async fleetStatus (): Promise<FleetStatus> {
    return { accounts: await this.#opts.mesh.fetchAccounts(), moves: this.#moves() }
  }

  events (since: number): TimelineEvent[] {
    return this.#opts.events.since(since)
  }

  async fleetEvents (): Promise<FleetEvents> {
    const { mesh } = this.#opts
    const events = await mesh.fetchEvents()
    const answered = new Set(events.map((event) => event.daemon))
    const silent = mesh.members().map((member) => member.id).filter((id) => !answered.has(id))
    return { events, silent }
  }

  counters (): Record<string, number> {
    return Object.fromEntries([...this.#opts.counters.counters, ...this.#opts.counters.gauges])
  }

  takeBack (move: string, reason: string): TakeBackAnswer {
    const { id, mesh, timers } = this.#opts
    if (!Object.hasOwn(this.#activeSnapshot.config.moves, move)) return { move, published: false, reason: 'no such move' }
    const facts = this.#factsOf(move)
    if (facts.outcome) {
      return { move, published: false, outcome: facts.outcome.outcome, reason: `the move had already ended: ${facts.outcome.reason}` }
    }
    mesh.publishFact({ kind: 'rollback', move, reason, at: timers.wallNow(), daemon: id })
    return { move, published: true }
  }

  debug (): Record<string, unknown> {
    return { members: this.#opts.mesh.members(), endpoints: this.#opts.mesh.endpoints() }
  }

  #moves (): MoveRecord[] {
    return Object.entries(this.#activeSnapshot.config.moves).map(([id, move]) => toMoveRecord(id, move, this.#factsOf(id)))
  }

  #factsOf (move: string): MoveFacts {
    return this.#opts.mesh.facts().get(move) ?? {}
  }
}
