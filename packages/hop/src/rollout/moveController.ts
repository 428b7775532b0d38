import { errorCode, runEffects, type MoveFact, type Random, type Timers } from '@lentilwheel/core'
import { BriefMove, type BriefReport } from '@lentilwheel/moves'
import type { StoreCodec } from '../daemon/storeCodec.js'
import type { EvacuationView } from '../evacuation/evacuationRecord.js'
import { RevisionConflict } from '../errors.js'
import type { Fleet } from '../fleet/fleet.js'
import type { HostRecord, TargetRecord } from '../fleet/hostRecord.js'
import { readMoveOrder } from '../fleet/records.js'
import type { CallLog } from '../observe/callLog.js'
import { StoreWatcher } from '../store/storeWatcher.js'
import type { ObjectStore, StoredObject } from '../store/objectStore.js'
import { isLater, type StoreRevision } from '../store/storeRevision.js'
import { ReportSender } from './reportSender.js'
import { ResultAggregator, type RequestResult } from './resultAggregator.js'
import { REWRITE_MS, SupersededOrders } from './supersededOrders.js'
import type { MoveOrder, MoveState } from './moveOrder.js'
import type { TrustedVersion } from './trustedVersion.js'
import { TrustedVersionStore } from './trustedVersionStore.js'
import { phaseOf, VersionRules, type VersionChoice, type VersionChooser, type VersionOption } from './versionRules.js'

export interface MoveControllerOptions {
  fleet: Fleet
  store: ObjectStore
  codec: StoreCodec
  /** Targets of evacuated data centres get no share of the new version. */
  evacuations?: EvacuationView
  timers: Timers
  random: Random
  log: CallLog
}

/** How often a daemon checks whether it should watch the orders in the store; its links are up by the first check. */
const WATCHER_CHECK_INTERVAL_MS = 500
/** Time between two proofs that the watches bring new orders. */
const TURN_INTERVAL_MS = 2_000
/** Pause after a change, so that changes in quick succession are read together. */
const BATCH_DELAY_MS = 100
/** Daemons that watch the orders in the store; the others get them from peers. */
const MAX_WATCHERS = 3
const TICK_INTERVAL_MS = 200
/** Least time between a report and the next one that a failed or slow request triggers. */
const MIN_URGENT_REPORT_INTERVAL_MS = 40
/** A daemon of rank n writes a state to the store if it is still missing after n times this long. */
const TAKEOVER_DELAY_MS = 1_500
/** Daemons that get the reports: the coordinator, and those that succeed it if it is lost and the next one, too. */
const REPORT_RECEIVERS = 3

/**
 * This daemon's part in moving the traffic of services to new versions. Every daemon follows the orders and routes
 * requests by them, and reports how the target beside it did. The leader among the live daemons coordinates: it advances
 * each move by these reports, publishes each such decision as a fact, and writes the state to the store; daemons ranked
 * after it write the state if it is missing for long. Each daemon that gets the reports may roll the move back.
 */
export class MoveController implements VersionChooser {
  readonly #opts: MoveControllerOptions
  readonly #rules: VersionRules
  readonly #results = new ResultAggregator()
  readonly #superseded: SupersededOrders
  readonly #trustedStore: TrustedVersionStore
  readonly #reports: ReportSender
  /** Moves of which this daemon has got reports or that it coordinates, by order id. */
  readonly #watched = new Map<string, BriefMove>()
  /** States that are not in the store yet, by order id; `since`: when the state became due, or was last tried. */
  readonly #pendingWrites = new Map<string, { state: MoveState, since: number, isWriting: boolean }>()
  #watcher: StoreWatcher | undefined
  #lastReportAt = 0
  #isReportScheduled = false

  constructor (opts: MoveControllerOptions) {
    this.#opts = opts
    this.#rules = new VersionRules(opts.random, opts.evacuations)
    const { timers, random, log, store, store: { epochs } } = opts
    this.#trustedStore = new TrustedVersionStore({ store, rules: this.#rules, timers, random, log })
    this.#superseded = new SupersededOrders(timers, epochs)
    this.#reports = new ReportSender({ fleet: opts.fleet, timers, receivers: REPORT_RECEIVERS, onOwnReport: (report) => this.onReport(report) })
    // Orders that are held count once the hold is over.
    epochs.onRise(() => timers.after(REWRITE_MS, () => this.#watcher?.relist()))
  }

  start (): void {
    this.#trustedStore.start()
    this.#opts.timers.every(TICK_INTERVAL_MS, () => this.#tick(), { jitter: 0.2 })
    this.#opts.timers.every(WATCHER_CHECK_INTERVAL_MS, () => { if (!this.#watcher && this.#opts.fleet.turnInFleet(MAX_WATCHERS)) this.#startWatcher() })
  }

  stop (): void {
    this.#watcher?.stop()
    this.#trustedStore.stop()
  }

  /** Calls `fn` once the versions that services run are known, or could have been. */
  whenLoaded (fn: () => void): void {
    this.#trustedStore.whenLoaded(fn)
  }

  setHosts (records: readonly HostRecord[]): void {
    this.#rules.setHosts(records)
  }

  /** Orders known here, for peers that don't watch the store. */
  orders (): MoveOrder[] {
    return this.#rules.orders()
  }

  /** Takes over an order from the store or a peer, unless it is older than the known one. */
  onOrder (received: MoveOrder, from: string): void {
    const known = this.#rules.order(received.service)
    const isRestored = known !== undefined && received.revision.epoch > known.revision.epoch
    if (isRestored && this.#superseded.isHeld(received)) {
      this.#opts.log.decision('moveOrderHeld', { ...received, from, known })
      return
    }
    const order = isRestored ? writtenAgain(known, received) : received
    if (isRestored) this.#keepEnd(known, order)
    if (!this.#rules.setOrder(order)) {
      const { id, state, revision } = order
      if (from === 'store') this.#opts.log.decision('moveOrderIgnored', { id, state, revision, known })
      return
    }
    this.#superseded.onReplaced(known, order)
    if (known && known.id !== order.id) this.#watched.delete(known.id)
    this.#opts.log.decision('moveOrder', { ...order, from })
    this.#opts.fleet.schedulePush()
  }

  trustedVersions (): TrustedVersion[] {
    return this.#rules.trustedVersions()
  }

  /** Takes over what a peer knows of the versions that services run. */
  onTrustedVersions (versions: readonly TrustedVersion[]): void {
    for (const version of versions) this.#rules.trust(version)
  }

  /** Applies a fact that was added to the facts known here. */
  onFact (fact: MoveFact): void {
    const facts = this.#opts.fleet.facts.of(fact.move)
    this.#rules.setFacts(fact.move, facts)
    this.#opts.log.decision('moveFact', { ...fact, fact: fact.kind })
  }

  /** Called when the target beside this daemon has completed a request; results count only during a move. */
  onResult (target: TargetRecord, { route, ok, ms, targetLatencyMs }: RequestResult): void {
    const { service, version, coldMs } = target
    const phase = this.#rules.phase(service)
    if (phase !== 'moving' && phase !== 'full') return
    const slow = coldMs === 0 && ms > targetLatencyMs
    this.#results.add({ service, version, route, ok, slow, ms })
    if (!ok || slow) this.#scheduleReport()
  }

  /** Handles a daemon's report, whether or not this daemon takes itself for the coordinator of the move. */
  onReport (report: BriefReport): void {
    const order = this.#rules.order(report.service)
    if (!order || isEnded(order.state)) return
    this.#watch(order).onReport(report, this.#opts.timers.now())
    this.#coordinate(order)
  }

  choose (service: string): VersionChoice | undefined {
    return this.#rules.choose(service)
  }

  /** The choices for the requests of a service, without making one. */
  options (service: string): VersionOption[] {
    return this.#rules.options(service)
  }

  /** Whether a request for the version may still be started. */
  isVersionAllowed (service: string, version: string): boolean {
    return this.#rules.isVersionAllowed(service, version)
  }

  /** Publishes the end of a move as a fact if a restored store shows the order without it, as it was known from there alone. */
  #keepEnd (known: MoveOrder, order: MoveOrder): void {
    if (known.id !== order.id || !isEnded(known.state) || known.state === 'withdrawn' || isEnded(order.state)) return
    const { fleet, timers } = this.#opts
    const origin = { move: order.id, reason: 'the store held it before it was restored from a copy', at: timers.wallNow() }
    fleet.publishFact(known.state === 'rolledBack' ? { kind: 'rollback', ...origin, daemon: fleet.own.host } : { kind: 'outcome', ...origin, outcome: 'done' })
  }

  /** Starts watching the orders in the store. */
  #startWatcher (): void {
    const { fleet, store, codec, timers, random, log } = this.#opts
    const readOrder = (object: StoredObject): void => {
      const order = this.#readOrder(object)
      if (order) this.onOrder(order, 'store')
      else log.decision('badRecord', { from: 'store', kind: codec.moves.kind, name: object.name })
    }
    this.#watcher = new StoreWatcher({
      store,
      kind: codec.moves.kind,
      timers,
      random,
      log,
      turnIntervalMs: TURN_INTERVAL_MS,
      batchDelayMs: BATCH_DELAY_MS,
      turn: () => fleet.turnInFleet(MAX_WATCHERS),
      onReachable: (isReachable) => fleet.setStoreLost(!isReachable),
      onList: (objects, revision) => {
        objects.forEach(readOrder)
        this.#withdrawMissing(objects, revision)
      },
      onChange: (object, deleted) => {
        if (deleted) this.#withdraw(object.name, object.revision)
        else readOrder(object)
      }
    })
    this.#watcher.run()
  }

  /** Takes back the orders that the operator has removed, unless they are missing because the store has just been restored from a copy. */
  #withdrawMissing (objects: readonly StoredObject[], revision: StoreRevision): void {
    if (this.#superseded.isHolding) return
    const present = new Set(objects.map(({ name }) => name))
    for (const { service } of this.#rules.orders()) if (!present.has(service)) this.#withdraw(service, revision)
  }

  /** Takes back the order of a service. Its version keeps what it has only if it is the trusted one. */
  #withdraw (service: string, revision: StoreRevision): void {
    const order = this.#rules.order(service)
    if (!order || order.state === 'withdrawn') return
    if (isLater(revision, order.revision)) this.onOrder({ ...order, state: 'withdrawn', revision }, 'store')
    else this.#watcher?.relist()
  }

  /** Reports results and coordinates every known move; called periodically. */
  #tick (): void {
    this.#sendReport()
    for (const order of this.#rules.orders()) this.#coordinate(order)
    const { fleet } = this.#opts
    if (this.#watched.size > 0) fleet.checkRankedBefore()
    if (fleet.isWarmedUp && fleet.rank() === 0) this.#trustedStore.reconcile()
  }

  /** Writes the order's state if it is due. Rolls a bad version back, and advances the move if this daemon is the leader. */
  #coordinate (order: MoveOrder): void {
    const { fleet, timers } = this.#opts
    const rank = fleet.rank()
    this.#reconcileState(order, rank)
    if (isEnded(order.state)) {
      this.#watched.delete(order.id)
      return
    }
    const isCoordinator = rank === 0 && fleet.isWarmedUp
    const move = isCoordinator ? this.#watch(order) : this.#watched.get(order.id)
    if (!move) return
    const facts = fleet.facts.of(order.id)
    const input = { isCoordinator, now: timers.now(), wallNow: timers.wallNow(), facts, isReturn: this.#rules.isReturn(order), ...this.#rules.slots(order.service) }
    runEffects(move.tick(input), (fact) => fleet.publishFact(fact))
  }

  /** The move of an order, which this daemon watches from now on. */
  #watch ({ id, to, durationMs }: MoveOrder): BriefMove {
    let move = this.#watched.get(id)
    if (!move) this.#watched.set(id, move = new BriefMove({ move: id, daemon: this.#opts.fleet.own.host, to, durationMs }))
    return move
  }

  /** Writes the state that follows from the facts to the store, if the order there has another one. */
  #reconcileState (order: MoveOrder, rank: number): void {
    const state = desiredState(order, this.#opts.fleet)
    if (state === order.state) {
      this.#pendingWrites.delete(order.id)
      return
    }
    const now = this.#opts.timers.now()
    let pending = this.#pendingWrites.get(order.id)
    if (pending?.state !== state) this.#pendingWrites.set(order.id, pending = { state, since: now, isWriting: false })
    if (pending.isWriting || now - pending.since < rank * TAKEOVER_DELAY_MS) return
    pending.isWriting = true
    this.#writeState(order, state).finally(() => {
      pending.isWriting = false
      pending.since = now
    })
  }

  /** Writes a state; after a conflict or a lost response the object is read again to learn its current state. */
  async #writeState (order: MoveOrder, state: MoveState): Promise<void> {
    const { store, codec, log, fleet } = this.#opts
    const { kind } = codec.moves
    try {
      const object = await store.setStatus(kind, order.service, codec.encodeMoveStatus(order, state), order.revision)
      log.decision('moveStateWritten', { move: order.id, state, revision: object.revision })
      const written = this.#readOrder(object)
      if (written) this.onOrder(written, fleet.own.host)
    } catch (err) {
      log.decision('moveStateNotWritten', { move: order.id, state, code: errorCode(err), reason: (err as Error).message })
      if (err instanceof RevisionConflict) this.#watcher?.relist()
      await this.#refreshOrder(order)
    }
  }

  #readOrder (object: StoredObject): MoveOrder | undefined {
    return readMoveOrder(this.#opts.codec.decodeMove(object))
  }

  async #refreshOrder (order: MoveOrder): Promise<void> {
    const { store, codec, log } = this.#opts
    try {
      const object = await store.get(codec.moves.kind, order.service)
      const current = object && this.#readOrder(object)
      if (current) this.onOrder(current, 'store')
    } catch (err) {
      log.decision('moveStateNotRead', { move: order.id, code: errorCode(err) })
    }
  }

  /** Sends a report soon, after a failed or slow request. */
  #scheduleReport (): void {
    if (this.#isReportScheduled) return
    this.#isReportScheduled = true
    const { timers } = this.#opts
    timers.after(Math.max(0, this.#lastReportAt + MIN_URGENT_REPORT_INTERVAL_MS - timers.now()), () => this.#sendReport())
  }

  #sendReport (): void {
    this.#isReportScheduled = false
    this.#lastReportAt = this.#opts.timers.now()
    const results = this.#results.drain()
    if (results) this.#reports.add(results, this.#rules.order(results.service)?.id)
    this.#reports.send()
  }
}

function isEnded (state: MoveState): boolean {
  return state === 'completed' || state === 'rolledBack' || state === 'withdrawn'
}

/** An order from a restored store under the id by which its move is known, if the operator may have written it again as the store had lost it. */
function writtenAgain (known: MoveOrder, order: MoveOrder): MoveOrder {
  if (known.to !== order.to || order.state !== 'ordered' || known.givenAt === undefined) return order
  return { ...order, id: known.id, givenAt: known.givenAt }
}

/** The state that the store should hold for an order, given the facts known here. */
function desiredState (order: MoveOrder, fleet: Fleet): MoveState {
  if (isEnded(order.state)) return order.state
  const phase = phaseOf(order, fleet.facts.of(order.id))
  if (phase === 'rolledBack' || phase === 'completed') return phase
  return 'running'
}
