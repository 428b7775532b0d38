import { SeededRandom, type EndpointView, type MoveOutcome, type Random } from '@lentilwheel/core'
import { CallSource, NEW, OLD, SERVICE, type Dependency } from './calls.js'
import { Fleet, type FleetEvent } from './fleet.js'
import { DEADLINES, HOLD_SECONDS, PROFILES, RATES, type DeadlineName, type Kind, type Moment, type ProfileName, type RateName } from './kinds.js'

export interface MoveCase {
  kind: Kind
  profile: ProfileName
  rate: RateName
  deadline: DeadlineName
  seed: number
  /** Called before each second; fault cases act on the fleet here. */
  disturb?: (fleet: Fleet, second: number) => void
  skewMs?: (daemon: number) => number
  /** Seconds run after the outcome, in which its facts must have stopped calls; 3 when absent. */
  afterSeconds?: number
}

export interface MoveResult {
  outcome: MoveOutcome | 'none'
  reason: string
  /** Number of times that an outcome was announced. */
  ends: number
  /** Done, with all traffic on the new version by the deadline. */
  inTime: boolean
  calls: number
  newCalls: number
  failedByNew: number
  /**
   * Failed calls in the first minute after the new version's first call, as a part of the service's calls in it. The
   * minute counts in full when the move ends sooner, since the service's calls go on.
   */
  firstMinuteFailedPart: number
  /** Part of the calls that went to the new version from the start of its badness to the end of the move. */
  badPart: number
  /** From the start of badness to the last call of the new version; undefined when it never was bad. */
  badSeconds: number | undefined
  seconds: number
  /** Second of the last call of the new version, on the clock of the events. */
  lastNewCall: number
  events: FleetEvent[]
}

/** Unix seconds at which simulated moves start; far from zero, as real clocks are. */
export const START_SECOND = 1_700_000_000
/** Seconds after deadline and hold time at which a move without an outcome is given up. */
const OVERTIME_SECONDS = 500
const AFTER_SECONDS = 3

/** Runs one move of a seeded service on a virtual clock. */
export function simulate (moveCase: MoveCase): MoveResult {
  const by = START_SECOND + DEADLINES[moveCase.deadline]
  const skew = moveCase.skewMs === undefined ? {} : { skewMs: moveCase.skewMs }
  const fleet = new Fleet({ profile: moveCase.profile, by: by * 1000, ...skew })
  const run = new Run(moveCase, fleet)
  const limit = Math.max(0, DEADLINES[moveCase.deadline]) + HOLD_SECONDS + OVERTIME_SECONDS
  const after = moveCase.afterSeconds ?? AFTER_SECONDS
  let endedAt: number | undefined
  let second = 0
  while (second < limit && (endedAt === undefined || second < endedAt + after)) {
    fleet.startSecond(START_SECOND + second)
    moveCase.disturb?.(fleet, second)
    run.second(second)
    second++
    fleet.tick(START_SECOND + second)
    if (endedAt === undefined && fleet.events.some((event) => event.type === 'moveEnded')) endedAt = second
  }
  return run.result(second)
}

/** Counts of one move. */
class Run {
  readonly #case: MoveCase
  readonly #fleet: Fleet
  readonly #source: CallSource
  readonly #random: Random
  readonly #instances: Instances
  #calls = 0
  #newCalls = 0
  #failedByNew = 0
  #firstCallAt: number | undefined
  #allAt: number | undefined
  #badAt: number | undefined
  #lastBadAt = 0
  #lastNewCall = 0
  #callsSinceBad = 0
  #badCalls = 0
  #minuteCalls = 0
  #minuteFailed = 0
  #share = 0

  constructor (moveCase: MoveCase, fleet: Fleet) {
    this.#case = moveCase
    this.#fleet = fleet
    this.#random = new SeededRandom(moveCase.seed)
    const ratePerDaemon = RATES[moveCase.rate] / PROFILES[moveCase.profile].daemons
    this.#source = new CallSource(moveCase.kind, ratePerDaemon, this.#random)
    this.#instances = new Instances(moveCase, this.#random)
  }

  second (second: number): void {
    this.#fleet.setEndpoints(this.#instances.second(second, this.#share))
    const at = this.#moment(second)
    const dependency = dependencyAt(this.#case.kind, second, this.#case.seed)
    const sum = { calls: 0, newCalls: 0, failedByNew: 0 }
    this.#fleet.engines.forEach((engine) => {
      const tally = this.#source.second(engine, at, dependency, this.#instances.lostPart)
      sum.calls += tally.calls
      sum.newCalls += tally.newCalls
      sum.failedByNew += tally.failedByNew
    })
    this.#share = sum.calls === 0 ? this.#share : sum.newCalls / sum.calls
    this.#count(second, at, sum)
  }

  result (seconds: number): MoveResult {
    const facts = this.#fleet.facts()
    const outcome = facts.outcome?.outcome ?? 'none'
    const reached = this.#allAt !== undefined && this.#allAt <= DEADLINES[this.#case.deadline]
    return {
      outcome,
      reason: facts.outcome?.reason ?? '',
      ends: this.#fleet.events.filter((event) => event.type === 'moveEnded').length,
      inTime: outcome === 'done' && reached,
      calls: this.#calls,
      newCalls: this.#newCalls,
      failedByNew: this.#failedByNew,
      firstMinuteFailedPart: this.#minuteFailed / Math.max(this.#minuteCalls, RATES[this.#case.rate] * 60),
      badPart: this.#callsSinceBad === 0 ? 0 : this.#badCalls / this.#callsSinceBad,
      badSeconds: this.#badAt === undefined ? undefined : this.#lastBadAt - this.#badAt,
      seconds,
      lastNewCall: this.#lastNewCall,
      events: this.#fleet.events
    }
  }

  #moment (second: number): Moment {
    return {
      sinceFirstCall: this.#firstCallAt === undefined ? 0 : second - this.#firstCallAt,
      sinceAll: this.#allAt === undefined ? -1 : second - this.#allAt,
      share: this.#share
    }
  }

  #count (second: number, at: Moment, sum: { calls: number, newCalls: number, failedByNew: number }): void {
    this.#calls += sum.calls
    this.#newCalls += sum.newCalls
    this.#failedByNew += sum.failedByNew
    if (sum.newCalls > 0) {
      this.#firstCallAt ??= second
      this.#lastNewCall = START_SECOND + second
    }
    if (this.#fleet.engines.every((engine) => engine.shareOf(SERVICE)?.share === 1)) this.#allAt ??= second
    if (this.#firstCallAt !== undefined && second < this.#firstCallAt + 60) {
      this.#minuteCalls += sum.calls
      this.#minuteFailed += sum.failedByNew
    }
    this.#countBad(second, at, sum)
  }

  #countBad (second: number, at: Moment, sum: { calls: number, newCalls: number, failedByNew: number }): void {
    if (this.#case.kind.verdict !== 'bad' || this.#firstCallAt === undefined) return
    if (sum.failedByNew > 0 || isBadFromStart(this.#case.kind, at)) this.#badAt ??= second
    if (this.#badAt === undefined) return
    this.#callsSinceBad += sum.calls
    this.#badCalls += sum.newCalls
    if (sum.newCalls > 0) this.#lastBadAt = second
  }
}

function isBadFromStart (kind: Kind, at: Moment): boolean {
  return kind.slowness !== undefined || (kind.failing?.(at, 'browse') ?? 0) > 0
}

const BURST_PERIOD = 37
const BURST_SECONDS = 5
const BURST: Dependency = { failing: 0.3, slowness: 3 }
const CALM: Dependency = { failing: 0, slowness: 1 }

function dependencyAt (kind: Kind, second: number, seed: number): Dependency {
  if (kind.noisy !== true) return CALM
  return (second + seed * 7) % BURST_PERIOD < BURST_SECONDS ? BURST : CALM
}

const CRASH_AFTER_SECONDS = 8
const DOWN_SECONDS = 8
/** Time until the daemons no longer list a crashed target: its announcement lapses. */
const LISTED_SECONDS = 4

/** Instances of both versions; those of a crashing version go down after some seconds under traffic. */
class Instances {
  /** Part of the new version's listed instances that are down. */
  lostPart = 0
  readonly #case: MoveCase
  readonly #crashAt: number[]
  readonly #all: EndpointView[]
  readonly #new: EndpointView[]
  #listed: EndpointView[]

  constructor (moveCase: MoveCase, random: Random) {
    this.#case = moveCase
    const { instances } = PROFILES[moveCase.profile]
    const count = Math.round(instances * (moveCase.kind.instances ?? 1))
    this.#new = Array.from({ length: count }, (_, i) => endpoint(moveCase.profile, NEW, i))
    this.#all = [...Array.from({ length: instances }, (_, i) => endpoint(moveCase.profile, OLD, i)), ...this.#new]
    this.#listed = this.#all
    this.#crashAt = this.#new.map(() => 1 + random.int(CRASH_AFTER_SECONDS))
  }

  second (second: number, share: number): EndpointView[] {
    if (this.#case.kind.crashing !== true) return this.#all
    const down = this.#new.filter((_, i) => this.#downFor(second, i) >= 0)
    const gone = this.#new.filter((_, i) => this.#downFor(second, i) >= LISTED_SECONDS)
    const listed = this.#new.length - gone.length
    this.lostPart = listed === 0 ? 0 : (down.length - gone.length) / listed
    this.#schedule(second, share)
    if (gone.length > 0 || this.#listed.length !== this.#all.length) {
      this.#listed = this.#all.filter((candidate) => !gone.includes(candidate))
    }
    return this.#listed
  }

  #downFor (second: number, i: number): number {
    return second - this.#crashAt[i]!
  }

  /** A target crashes some seconds after it is up and takes calls. */
  #schedule (second: number, share: number): void {
    this.#crashAt.forEach((at, i) => {
      if (share === 0) this.#crashAt[i] = Math.max(at, second + 1 + i)
      else if (second - at >= DOWN_SECONDS) this.#crashAt[i] = second + CRASH_AFTER_SECONDS
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
