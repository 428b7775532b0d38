import type { DeadlineName, VersionKind, ProfileName, RateName } from './kinds.js'
import type { MoveResult } from './simulate.js'

/** One kind of version at one rate and deadline. */
export interface SummaryRow {
  kind: string
  profile: ProfileName
  rate: RateName
  deadline: DeadlineName
  moves: number
  doneInTime: number
  doneLater: number
  takenBack: number
  late: number
  /** Part of the calls that went to the bad version, from its badness to the end of the move. */
  shareOfTrafficToBad: { mean: number, max: number }
  secondsFromBadnessToLastCall: { p50: number, max: number }
  callsFailedByBad: { mean: number, max: number }
  /** Most calls failed in the first minute after the new version's first call, as a part of the service's calls. */
  firstMinuteFailedPartMax: number
}

export interface Totals {
  goodOnTimeShare: { comfortable: number, tight: number }
  falseTakeBackShare: number
  badTakenBackShare: { clear: number, subtle: number, all: number }
  /** At middle and high rates, by a version that is bad from its first call. */
  firstMinuteFailedPartMax: number
  /** Most calls failed in one move by a version that is bad from its first call, at the low rate. */
  lowRateFailedMax: { comfortable: number, allDeadlines: number }
}

export interface BenchTarget {
  target: string
  profile: ProfileName
  value: number
  bound: number
  met: boolean
}

/** Kinds that must always be taken back: 3% or more of all calls fail, or calls are three times slower. */
const CLEARLY_BAD: ReadonlySet<string> = new Set([
  'fail100', 'fail20', 'fail3', 'slow3', 'badAboveLoad', 'badAfterMinute', 'badAfterAll', 'badInHold',
  'badNonIdempotent', 'brokenAnswer200', 'crashing'
])
/** Kinds that must nearly always be taken back at middle and high rates. */
const SUBTLY_BAD: ReadonlySet<string> = new Set(['fail1', 'slow1.3'])
/** Kinds that fail calls from their first one on. */
const BAD_FROM_FIRST_CALL: ReadonlySet<string> = new Set([
  'fail100', 'fail20', 'fail3', 'fail1', 'badNonIdempotent', 'brokenAnswer200', 'crashing'
])

export interface CaseGroup {
  kind: VersionKind
  profile: ProfileName
  rate: RateName
  deadline: DeadlineName
}

export function summariseMoves (group: CaseGroup, results: readonly MoveResult[]): SummaryRow {
  const parts = results.map((result) => result.badTrafficFraction)
  const failed = results.map((result) => result.failedByNew)
  const seconds = results.flatMap((result) => result.secondsToLastBadCall ?? [])
  const ended = (outcome: string): number => results.filter((result) => result.outcome === outcome).length
  const doneInTime = results.filter((result) => result.isInTime).length
  return {
    ...group,
    kind: group.kind.name,
    moves: results.length,
    doneInTime,
    doneLater: ended('done') - doneInTime,
    takenBack: ended('takenBack'),
    late: ended('late'),
    shareOfTrafficToBad: { mean: round(mean(parts)), max: round(Math.max(...parts)) },
    secondsFromBadnessToLastCall: { p50: median(seconds), max: largest(seconds) },
    callsFailedByBad: { mean: round(mean(failed)), max: Math.max(...failed) },
    firstMinuteFailedPartMax: round(Math.max(...results.map((result) => result.firstMinuteFailedFraction)))
  }
}

export function totalsOf (rows: readonly SummaryRow[], goodKinds: ReadonlySet<string>): Totals {
  const good = rows.filter((row) => goodKinds.has(row.kind))
  const bad = rows.filter((row) => CLEARLY_BAD.has(row.kind) || SUBTLY_BAD.has(row.kind) || row.kind === 'badRareRoute')
  const atOnce = rows.filter((row) => BAD_FROM_FIRST_CALL.has(row.kind))
  const quiet = atOnce.filter((row) => row.rate === 'low')
  const onTime = (deadline: DeadlineName): number => fractionOfMoves(good.filter((row) => row.deadline === deadline), 'doneInTime')
  const roomy = bad.filter((row) => row.deadline === 'comfortable')
  return {
    goodOnTimeShare: { comfortable: onTime('comfortable'), tight: onTime('tight') },
    falseTakeBackShare: fractionOfMoves(good, 'takenBack'),
    badTakenBackShare: {
      clear: fractionOfMoves(roomy.filter((row) => CLEARLY_BAD.has(row.kind)), 'takenBack'),
      subtle: fractionOfMoves(roomy.filter((row) => SUBTLY_BAD.has(row.kind) && row.rate !== 'low'), 'takenBack'),
      all: fractionOfMoves(roomy, 'takenBack')
    },
    firstMinuteFailedPartMax: largest(
      atOnce.filter((row) => row.rate !== 'low').map((row) => row.firstMinuteFailedPartMax)),
    lowRateFailedMax: {
      comfortable: largest(quiet.filter((row) => row.deadline === 'comfortable').map((row) => row.callsFailedByBad.max)),
      allDeadlines: largest(quiet.map((row) => row.callsFailedByBad.max))
    }
  }
}

/** The targets of docs/design/benchmarks.md. */
export function targetsOf (profile: ProfileName, totals: Totals): BenchTarget[] {
  const { goodOnTimeShare: onTime, badTakenBackShare: back } = totals
  const least = (target: string, value: number, bound: number): BenchTarget =>
    ({ target, profile, value, bound, met: value >= bound })
  const most = (target: string, value: number, bound: number): BenchTarget =>
    ({ target, profile, value, bound, met: value <= bound })
  return [
    least('good on time, comfortable deadline', onTime.comfortable, 0.995),
    least('good on time, tight deadline', onTime.tight, 0.97),
    { ...most('good taken back', totals.falseTakeBackShare, 0.005), met: totals.falseTakeBackShare < 0.005 },
    least('clearly bad taken back', back.clear, 1),
    least('1% failures and 1.3 times slower taken back at middle and high rates', back.subtle, 0.95),
    most('calls failed by a bad version in the first minute at middle and high rates', totals.firstMinuteFailedPartMax, 0.01)
  ]
}

function largest (values: readonly number[]): number {
  return Math.max(0, ...values)
}

function fractionOfMoves (rows: readonly SummaryRow[], field: 'doneInTime' | 'takenBack'): number {
  const moves = rows.reduce((sum, row) => sum + row.moves, 0)
  return moves === 0 ? 0 : round(rows.reduce((sum, row) => sum + row[field], 0) / moves)
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

function median (values: readonly number[]): number {
  return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0
}

function round (value: number): number {
  return Number(value.toFixed(5))
}
