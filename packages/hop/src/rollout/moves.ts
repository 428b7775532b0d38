import { errorCode, runEffects, type MoveFact, type Random, type Timers } from '@lentilwheel/core'
import { BriefMove, type BriefReport } from '@lentilwheel/moves'
import type { StoreCodec } from '../daemon/codec.js'
import { RevisionConflict } from '../errors.js'
import type { Fleet } from '../fleet/fleet.js'
import type { HostRecord, TargetRecord } from '../fleet/records.js'
import type { CallLog } from '../observe/callLog.js'
import { Follower } from '../store/follower.js'
import type { ObjectStore, StoredObject } from '../store/objectStore.js'
import { Evidence, type VersionResult } from './evidence.js'
import type { MoveOrder, MoveState } from './order.js'
import { phaseOf, VersionRules, type VersionChoice, type VersionChooser } from './versionRules.js'

export interface MovesOptions {
  fleet: Fleet
  store: ObjectStore
  codec: StoreCodec
  timers: Timers
  random: Random
  log: CallLog
}

/** Period at which a daemon looks whether it should follow the orders; by the first time its links are up. */
const FOLLOW_CHECK_MS = 500
const WATCH_MS = 12_000
const GATHER_MS = 100
/** Daemons that follow the orders themselves; the others hear of them. */
const WATCHERS = 3
const TICK_MS = 200
/** Least time between two reports that are sent because of a bad result. */
const URGENT_REPORT_MS = 40
/** Daemons take over the writing of a state after this long, one after the other. */
const TAKE_OVER_MS = 1_500

/** This daemon's part in the moves of services between versions. */
export class Moves implements VersionChooser {
  readonly #opts: MovesOptions
  readonly #rules: VersionRules
  readonly #evidence = new Evidence()
  readonly #coordinated = new Map<string, BriefMove>()
  /** When a state that is not in the store yet was first wanted there. */
  readonly #wanted = new Map<string, { state: MoveState, since: number, busy: boolean }>()
  #follower: Follower | undefined
  #reportedAt = 0
  #reportPlanned = false

  constructor (opts: MovesOptions) {
    this.#opts = opts
    this.#rules = new VersionRules(opts.random)
  }

  start (): void {
    this.#opts.timers.every(TICK_MS, () => this.#tick(), { jitter: 0.2 })
    this.#opts.timers.every(FOLLOW_CHECK_MS, () => { if (!this.#follower && this.#isFollowing()) this.#follow() })
  }

  stop (): void {
    this.#follower?.stop()
  }

  setHosts (records: readonly HostRecord[]): void {
    this.#rules.setHosts(records)
  }

  /** Orders known here, for peers that don't follow the store. */
  orders (): MoveOrder[] {
    return this.#rules.orders()
  }

  /** Takes in an order that a peer knows. */
  onOrder (order: MoveOrder, from: string): void {
    if (!this.#rules.setOrder(order)) return
    this.#opts.log.decision('moveOrder', { ...order, from })
    this.#opts.fleet.pushSoon()
  }

  onFact (fact: MoveFact): void {
    const facts = this.#opts.fleet.facts.of(fact.move)
    this.#rules.setFacts(fact.move, facts)
    this.#opts.log.decision('moveFact', { ...fact, fact: fact.kind })
  }

  /** The target beside this daemon ended a request. */
  onResult (target: TargetRecord, { route, ok, ms, targetLatencyMs }: VersionResult): void {
    const { service, version, coldMs } = target
    const phase = this.#rules.phase(service)
    if (phase !== 'moving' && phase !== 'full') return
    const slow = coldMs === 0 && ms > targetLatencyMs
    this.#evidence.add({ service, version, route, ok, slow, ms })
    if (!ok || slow) this.#reportSoon()
  }

  onReport (report: BriefReport): void {
    const order = this.#rules.order(report.service)
    if (!order) return
    this.#coordinated.get(order.id)?.onReport(report, this.#opts.timers.now())
    this.#coordinate(order)
  }

  choose (service: string): VersionChoice | undefined {
    return this.#rules.choose(service)
  }

  isOpen (service: string, version: string): boolean {
    return this.#rules.isOpen(service, version)
  }

  #isFollowing (): boolean {
    return this.#opts.fleet.isSettled && this.#opts.fleet.rank() < WATCHERS
  }

  #follow (): void {
    const { store, codec, timers, random, log } = this.#opts
    const take = ({ name, spec, status, revision }: StoredObject): void => {
      const order = codec.decodeMove(name, spec, status, revision)
      if (order) this.onOrder(order, 'store')
      else log.decision('moveUnreadable', { name, revision })
    }
    this.#follower = new Follower({
      store,
      kind: codec.moves.kind,
      timers,
      random,
      log,
      waitMs: WATCH_MS,
      gatherMs: GATHER_MS,
      isWanted: () => this.#isFollowing(),
      onList: (objects) => objects.forEach(take),
      onChange: (object, deleted) => { if (!deleted) take(object) }
    })
    this.#follower.run()
  }

  #tick (): void {
    this.#report()
    for (const order of this.#rules.orders()) this.#coordinate(order)
  }

  /** Moves the order on if this daemon is the first of those that are up, and writes what is decided. */
  #coordinate (order: MoveOrder): void {
    const { fleet, timers } = this.#opts
    const rank = fleet.rank()
    this.#keepState(order, rank)
    if (rank > 0 || order.state === 'completed' || order.state === 'rolledBack') {
      this.#coordinated.delete(order.id)
      return
    }
    const now = timers.now()
    let move = this.#coordinated.get(order.id)
    if (!move) {
      const { id, to, durationMs } = order
      move = new BriefMove({ move: id, daemon: fleet.own.host, to, durationMs, startedAt: now })
      this.#coordinated.set(id, move)
    }
    const facts = fleet.facts.of(order.id)
    const input = { now, wallNow: timers.wallNow(), facts, ...this.#rules.slots(order.service) }
    runEffects(move.tick(input), (fact) => fleet.publish(fact))
  }

  #keepState (order: MoveOrder, rank: number): void {
    const state = wantedState(order, this.#opts.fleet)
    if (state === order.state) {
      this.#wanted.delete(order.id)
      return
    }
    const now = this.#opts.timers.now()
    let wanted = this.#wanted.get(order.id)
    if (wanted?.state !== state) this.#wanted.set(order.id, wanted = { state, since: now, busy: false })
    if (wanted.busy || now - wanted.since < rank * TAKE_OVER_MS) return
    wanted.busy = true
    this.#write(order, state).finally(() => {
      wanted.busy = false
      wanted.since = now
    })
  }

  /** Writes a state; a conflict or a lost answer is settled by reading the object again. */
  async #write (order: MoveOrder, state: MoveState): Promise<void> {
    const { store, codec, log, fleet } = this.#opts
    const { kind } = codec.moves
    try {
      const written = await store.setStatus(kind, order.service, codec.encodeMoveStatus(order, state), order.revision)
      log.decision('moveStateWritten', { move: order.id, state, revision: written.revision })
      this.onOrder({ ...order, state, revision: written.revision }, fleet.own.host)
    } catch (err) {
      log.decision('moveStateNotWritten', { move: order.id, state, code: errorCode(err), reason: (err as Error).message })
      if (err instanceof RevisionConflict) this.#follower?.poke()
      await this.#readAgain(order)
    }
  }

  async #readAgain (order: MoveOrder): Promise<void> {
    const { store, codec, log } = this.#opts
    try {
      const object = await store.get(codec.moves.kind, order.service)
      const read = object && codec.decodeMove(object.name, object.spec, object.status, object.revision)
      if (read) this.onOrder(read, 'store')
    } catch (err) {
      log.decision('moveStateNotRead', { move: order.id, code: errorCode(err) })
    }
  }

  #reportSoon (): void {
    if (this.#reportPlanned) return
    this.#reportPlanned = true
    const { timers } = this.#opts
    timers.after(Math.max(0, this.#reportedAt + URGENT_REPORT_MS - timers.now()), () => this.#report())
  }

  #report (): void {
    const { fleet, timers } = this.#opts
    this.#reportPlanned = false
    this.#reportedAt = timers.now()
    const report = this.#evidence.take(fleet.own.host)
    if (!report) return
    const coordinator = fleet.first()
    if (coordinator === fleet.own.host) this.onReport(report)
    else fleet.sendReport(coordinator, report)
  }
}

function wantedState (order: MoveOrder, fleet: Fleet): MoveState {
  if (order.state === 'completed' || order.state === 'rolledBack') return order.state
  const phase = phaseOf(order, fleet.facts.of(order.id))
  if (phase === 'rolledBack' || phase === 'completed') return phase
  return 'running'
}
