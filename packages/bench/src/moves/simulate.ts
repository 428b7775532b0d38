import { SeededRandom, type EndpointView, type MoveOutcome, type Random } from '@lentilwheel/core'
import { CallGenerator, NEW_VERSION, OLD_VERSION, SERVICE, type DependencyState } from './callGenerator.js'
import { SimulatedFleet, type SimulatedEvent } from './simulatedFleet.js'
import {
  DEADLINES, HOLD_SECONDS, PROFILES, RATES, type DeadlineName, type MoveProgress, type ProfileName, type RateName, type VersionKind
} from './kinds.js'

/** One simulated move: the kind of version and the conditions. */
export interface MoveCase {
  kind: VersionKind
  profile: ProfileName
  rate: RateName
  deadline: DeadlineName
  seed: number
  /** Called before each second, so that a test can inject faults into the fleet. */
  injectFault?: (fleet: SimulatedFleet, second: number) => void
  /** Offset of a daemon's wall clock from the true time. */
  skewMs?: (daemon: number) => number
  /** Seconds simulated after the outcome, while its fact reaches the other daemons; 3 when absent. */
  secondsAfterOutcome?: number
}

export interface MoveResult {
  outcome: MoveOutcome | 'none'
  reason: string
  /** Number of `moveEnded` events. */
  outcomeCount: number
  /** The move is done and the new version had all traffic by the deadline. */
  isInTime: boolean
  calls: number
  newCalls: number
  failedByNew: number
  /**
   * Calls failed by the new version in the minute after its first call, as a fraction of the service's calls in that
   * minute. If the move ends sooner, the calls of the whole minute still count, as the service's traffic goes on.
   */
  firstMinuteFailedFraction: number
  /** Fraction of the calls that went to the new version from the second in which it turned bad to the end of the move. */
  badTrafficFraction: number
  /** Seconds from the one in which the new version turned bad to its last call; undefined if it never was bad. */
  secondsToLastBadCall: number | undefined
  seconds: number
  /** Unix second of the new version's last call. */
  lastNewCallAt: number
  events: SimulatedEvent[]
}

/** Unix second at which simulated moves start; far from zero, like real time. */
export const START_SECOND = 1_700_000_000
/** Seconds after deadline and hold time when the simulation of a move without an outcome is ended. */
const MAX_OVERTIME_SECONDS = 500
const DEFAULT_SECONDS_AFTER_OUTCOME = 3

/** Simulates one move on a virtual clock; the same case gives the same result. */
export function simulate (moveCase: MoveCase): MoveResult {
  const deadlineSecond = START_SECOND + DEADLINES[moveCase.deadline]
  const skew = moveCase.skewMs === undefined ? {} : { skewMs: moveCase.skewMs }
  const fleet = new SimulatedFleet({ profile: moveCase.profile, deadlineMs: deadlineSecond * 1000, ...skew })
  const run = new MoveSimulation(moveCase, fleet)
  const maxSeconds = Math.max(0, DEADLINES[moveCase.deadline]) + HOLD_SECONDS + MAX_OVERTIME_SECONDS
  const after = moveCase.secondsAfterOutcome ?? DEFAULT_SECONDS_AFTER_OUTCOME
  let endedAt: number | undefined
  let second = 0
  while (second < maxSeconds && (endedAt === undefined || second < endedAt + after)) {
    fleet.startSecond(START_SECOND + second)
    moveCase.injectFault?.(fleet, second)
    run.runSecond(second)
    second++
    fleet.tick(START_SECOND + second)
    if (endedAt === undefined && fleet.events.some((event) => event.type === 'moveEnded')) endedAt = second
  }
  return run.result(second)
}

/** A running simulation of one move and the counts of its calls. */
class MoveSimulation {
  readonly #case: MoveCase
  readonly #fleet: SimulatedFleet
  readonly #generator: CallGenerator
  readonly #random: Random
  readonly #instances: SimulatedInstances
  #calls = 0
  #newCalls = 0
  #failedByNew = 0
  #firstCallAt: number | undefined
  #fullTrafficAt: number | undefined
  #badSince: number | undefined
  #lastBadCallAt = 0
  #lastNewCallAt = 0
  #callsSinceBad = 0
  #badCalls = 0
  #firstMinuteCalls = 0
  #firstMinuteFailed = 0
  #share = 0

  constructor (moveCase: MoveCase, fleet: SimulatedFleet) {
    this.#case = moveCase
    this.#fleet = fleet
    this.#random = new SeededRandom(moveCase.seed)
    const ratePerDaemon = RATES[moveCase.rate] / PROFILES[moveCase.profile].daemons
    this.#generator = new CallGenerator(moveCase.kind, ratePerDaemon, this.#random)
    this.#instances = new SimulatedInstances(moveCase, this.#random)
  }

  runSecond (second: number): void {
    this.#fleet.setEndpoints(this.#instances.endpointsAt(second, this.#share))
    const progress = this.#progress(second)
    const dependency = dependencyAt(this.#case.kind, second, this.#case.seed)
    const sum = { calls: 0, newCalls: 0, failedByNew: 0 }
    this.#fleet.engines.forEach((engine) => {
      const counts = this.#generator.generateSecond(engine, progress, dependency, this.#instances.crashedFraction)
      sum.calls += counts.calls
      sum.newCalls += counts.newCalls
      sum.failedByNew += counts.failedByNew
    })
    this.#share = sum.calls === 0 ? this.#share : sum.newCalls / sum.calls
    this.#count(second, progress, sum)
  }

  result (seconds: number): MoveResult {
    const facts = this.#fleet.facts()
    const outcome = facts.outcome?.outcome ?? 'none'
    const hadFullTrafficInTime = this.#fullTrafficAt !== undefined && this.#fullTrafficAt <= DEADLINES[this.#case.deadline]
    return {
      outcome,
      reason: facts.outcome?.reason ?? '',
      outcomeCount: this.#fleet.events.filter((event) => event.type === 'moveEnded').length,
      isInTime: outcome === 'done' && hadFullTrafficInTime,
      calls: this.#calls,
      newCalls: this.#newCalls,
      failedByNew: this.#failedByNew,
      firstMinuteFailedFraction: this.#firstMinuteFailed / Math.max(this.#firstMinuteCalls, RATES[this.#case.rate] * 60),
      badTrafficFraction: this.#callsSinceBad === 0 ? 0 : this.#badCalls / this.#callsSinceBad,
      secondsToLastBadCall: this.#badSince === undefined ? undefined : this.#lastBadCallAt - this.#badSince,
      seconds,
      lastNewCallAt: this.#lastNewCallAt,
      events: this.#fleet.events
    }
  }

  #progress (second: number): MoveProgress {
    return {
      secondsSinceFirstCall: this.#firstCallAt === undefined ? 0 : second - this.#firstCallAt,
      secondsSinceFullTraffic: this.#fullTrafficAt === undefined ? -1 : second - this.#fullTrafficAt,
      share: this.#share
    }
  }

  #count (second: number, progress: MoveProgress, sum: { calls: number, newCalls: number, failedByNew: number }): void {
    this.#calls += sum.calls
    this.#newCalls += sum.newCalls
    this.#failedByNew += sum.failedByNew
    if (sum.newCalls > 0) {
      this.#firstCallAt ??= second
      this.#lastNewCallAt = START_SECOND + second
    }
    if (this.#fleet.engines.every((engine) => engine.shareOf(SERVICE)?.share === 1)) this.#fullTrafficAt ??= second
    if (this.#firstCallAt !== undefined && second < this.#firstCallAt + 60) {
      this.#firstMinuteCalls += sum.calls
      this.#firstMinuteFailed += sum.failedByNew
    }
    this.#countBad(second, progress, sum)
  }

  #countBad (second: number, progress: MoveProgress, sum: { calls: number, newCalls: number, failedByNew: number }): void {
    if (this.#case.kind.verdict !== 'bad' || this.#firstCallAt === undefined) return
    if (sum.failedByNew > 0 || isBadFromStart(this.#case.kind, progress)) this.#badSince ??= second
    if (this.#badSince === undefined) return
    this.#callsSinceBad += sum.calls
    this.#badCalls += sum.newCalls
    if (sum.newCalls > 0) this.#lastBadCallAt = second
  }
}

function isBadFromStart (kind: VersionKind, progress: MoveProgress): boolean {
  return kind.latencyFactor !== undefined || (kind.errorRate?.(progress, 'browse') ?? 0) > 0
}

const BURST_PERIOD_SECONDS = 37
const BURST_SECONDS = 5
const FAILING_DEPENDENCY: DependencyState = { errorRate: 0.3, latencyFactor: 3 }
const HEALTHY_DEPENDENCY: DependencyState = { errorRate: 0, latencyFactor: 1 }

function dependencyAt (kind: VersionKind, second: number, seed: number): DependencyState {
  if (kind.hasNoisyDependency !== true) return HEALTHY_DEPENDENCY
  return (second + seed * 7) % BURST_PERIOD_SECONDS < BURST_SECONDS ? FAILING_DEPENDENCY : HEALTHY_DEPENDENCY
}

/** Longest time after a start under traffic at which an instance of a crashing version crashes. */
const CRASH_AFTER_SECONDS = 8
const DOWN_SECONDS = 8
/** Time after a crash until the target's announcement expires and the daemons no longer list it. */
const LISTED_SECONDS = 4

/** The instances of both versions as the daemons list them; those of a crashing version crash and restart. */
class SimulatedInstances {
  /** Fraction of the new version's listed instances that are down. */
  crashedFraction = 0
  readonly #case: MoveCase
  readonly #crashAt: number[]
  readonly #all: EndpointView[]
  readonly #new: EndpointView[]
  #listed: EndpointView[]

  constructor (moveCase: MoveCase, random: Random) {
    this.#case = moveCase
    const { instances } = PROFILES[moveCase.profile]
    const count = Math.round(instances * (moveCase.kind.instanceRatio ?? 1))
    this.#new = Array.from({ length: count }, (_, i) => endpoint(moveCase.profile, NEW_VERSION, i))
    this.#all = [...Array.from({ length: instances }, (_, i) => endpoint(moveCase.profile, OLD_VERSION, i)), ...this.#new]
    this.#listed = this.#all
    this.#crashAt = this.#new.map(() => 1 + random.int(CRASH_AFTER_SECONDS))
  }

  endpointsAt (second: number, share: number): EndpointView[] {
    if (this.#case.kind.isCrashing !== true) return this.#all
    const crashed = this.#new.filter((_, i) => this.#secondsSinceCrash(second, i) >= 0)
    const unlisted = this.#new.filter((_, i) => this.#secondsSinceCrash(second, i) >= LISTED_SECONDS)
    const listed = this.#new.length - unlisted.length
    this.crashedFraction = listed === 0 ? 0 : (crashed.length - unlisted.length) / listed
    this.#scheduleCrashes(second, share)
    if (unlisted.length > 0 || this.#listed.length !== this.#all.length) {
      this.#listed = this.#all.filter((candidate) => !unlisted.includes(candidate))
    }
    return this.#listed
  }

  #secondsSinceCrash (second: number, i: number): number {
    return second - this.#crashAt[i]!
  }

  /** Delays crashes while the new version has no traffic, and schedules the next crash of an instance that is up again. */
  #scheduleCrashes (second: number, share: number): void {
    this.#crashAt.forEach((crashAt, i) => {
      if (share === 0) this.#crashAt[i] = Math.max(crashAt, second + 1 + i)
      else if (second - crashAt >= DOWN_SECONDS) this.#crashAt[i] = second + CRASH_AFTER_SECONDS
    })
  }
}

function endpoint (profile: ProfileName, version: string, i: number): EndpointView {
  const { slots, connections } = PROFILES[profile]
  const id = `${version}-${i}/orders`
  return {
    id, service: SERVICE, version, address: '127.0.0.1', port: 1, dataCentre: `dc${i % 4}`, slots, connections, state: 'ready', reachable: true
  }
}
