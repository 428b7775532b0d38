import type { DeadlineName, VersionKind, ProfileName, RateName } from './kinds.js'
import type { MoveResult } from './simulate.js'

/** Figures of the moves to one kind of version at one rate and deadline. */
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
  /** Fraction of the calls that went to the bad version, from the second in which it turned bad to the end of the move. */
  shareOfTrafficToBad: { mean: number, max: number }
  secondsFromBadnessToLastCall: { p50: number, max: number }
  callsFailedByBad: { mean: number, max: number }
  /** Largest fraction of the service's calls that the new version failed in the minute after its first call. */
  firstMinuteFailedPartMax: number
}

/** Figures over all moves of a profile. */
export interface Totals {
  goodOnTimeShare: { comfortable: number, tight: number }
  falseTakeBackShare: number
  badTakenBackShare: { clear: number, subtle: number, all: number }
  /** At middle and high rates, by a version that is bad from its first call. */
  firstMinuteFailedPartMax: number
  /** Largest number of calls failed in one move by a version that is bad from its first call, at the low rate. */
  lowRateFailedMax: { comfortable: number, allDeadlines: number }
}

/** A figure, the bound that it must keep, and whether it does. */
export interface BenchTarget {
  target: string
  profile: ProfileName
  value: number
  bound: number
  met: boolean
}

/** Kinds whose moves must always be taken back: they fail 3% or more of all calls, or are three times slower. */
const CLEARLY_BAD: ReadonlySet<string> = new Set([
  'fail100', 'fail20', 'fail3', 'slow3', 'badAboveLoad', 'badAfterMinute', 'badAfterAll', 'badInHold',
  'badNonIdempotent', 'brokenAnswer200', 'crashing'
])
/** Kinds whose moves must nearly always be taken back at middle and high rates. */
const SUBTLY_BAD: ReadonlySet<string> = new Set(['fail1', 'slow1.3'])
/** Kinds that fail calls from the first one on. */
const BAD_FROM_FIRST_CALL: ReadonlySet<string> = new Set([
  'fail100', 'fail20', 'fail3', 'fail1', 'badNonIdempotent', 'brokenAnswer200', 'crashing'
])

/** Moves that differ in the seed only. */
export interface CaseGroup {
  kind: VersionKind
  profile: ProfileName
  rate: RateName
  deadline: DeadlineName
}

/** Summarises the results of a group's moves. */
export function summariseMoves (group: CaseGroup, results: readonly MoveResult[]): SummaryRow {
  const badFractions = results.map((result) => result.badTrafficFraction)
  const failed = results.map((result) => result.failedByNew)
  const secondsToLastCall = results.flatMap((result) => result.secondsToLastBadCall ?? [])
  const countOutcome = (outcome: string): number => results.filter((result) => result.outcome === outcome).length
  const doneInTime = results.filter((result) => result.isInTime).length
  return {
    ...group,
    kind: group.kind.name,
    moves: results.length,
    doneInTime,
    doneLater: countOutcome('done') - doneInTime,
    takenBack: countOutcome('takenBack'),
    late: countOutcome('late'),
    shareOfTrafficToBad: { mean: round(mean(badFractions)), max: round(Math.max(...badFractions)) },
    secondsFromBadnessToLastCall: { p50: median(secondsToLastCall), max: largest(secondsToLastCall) },
    callsFailedByBad: { mean: round(mean(failed)), max: Math.max(...failed) },
    firstMinuteFailedPartMax: round(Math.max(...results.map((result) => result.firstMinuteFailedFraction)))
  }
}

/** Sums up the rows of a profile. */
export function totalsOf (rows: readonly SummaryRow[], goodKinds: ReadonlySet<string>): Totals {
  const good = rows.filter((row) => goodKinds.has(row.kind))
  const bad = rows.filter((row) => CLEARLY_BAD.has(row.kind) || SUBTLY_BAD.has(row.kind) || row.kind === 'badRareRoute')
  const badFromFirstCall = rows.filter((row) => BAD_FROM_FIRST_CALL.has(row.kind))
  const badAtLowRate = badFromFirstCall.filter((row) => row.rate === 'low')
  const shareOnTime = (deadline: DeadlineName): number => fractionOfMoves(good.filter((row) => row.deadline === deadline), 'doneInTime')
  const badAtComfortableDeadline = bad.filter((row) => row.deadline === 'comfortable')
  return {
    goodOnTimeShare: { comfortable: shareOnTime('comfortable'), tight: shareOnTime('tight') },
    falseTakeBackShare: fractionOfMoves(good, 'takenBack'),
    badTakenBackShare: {
      clear: fractionOfMoves(badAtComfortableDeadline.filter((row) => CLEARLY_BAD.has(row.kind)), 'takenBack'),
      subtle: fractionOfMoves(badAtComfortableDeadline.filter((row) => SUBTLY_BAD.has(row.kind) && row.rate !== 'low'), 'takenBack'),
      all: fractionOfMoves(badAtComfortableDeadline, 'takenBack')
    },
    firstMinuteFailedPartMax: largest(
      badFromFirstCall.filter((row) => row.rate !== 'low').map((row) => row.firstMinuteFailedPartMax)),
    lowRateFailedMax: {
      comfortable: largest(badAtLowRate.filter((row) => row.deadline === 'comfortable').map((row) => row.callsFailedByBad.max)),
      allDeadlines: largest(badAtLowRate.map((row) => row.callsFailedByBad.max))
    }
  }
}

/** Compares the totals with the targets of docs/design/benchmarks.md. */
export function targetsOf (profile: ProfileName, totals: Totals): BenchTarget[] {
  const { goodOnTimeShare: shareOnTime, badTakenBackShare: shareTakenBack } = totals
  const atLeast = (target: string, value: number, bound: number): BenchTarget =>
    ({ target, profile, value, bound, met: value >= bound })
  const atMost = (target: string, value: number, bound: number): BenchTarget =>
    ({ target, profile, value, bound, met: value <= bound })
  return [
    atLeast('good on time, comfortable deadline', shareOnTime.comfortable, 0.995),
    atLeast('good on time, tight deadline', shareOnTime.tight, 0.97),
    { ...atMost('good taken back', totals.falseTakeBackShare, 0.005), met: totals.falseTakeBackShare < 0.005 },
    atLeast('clearly bad taken back', shareTakenBack.clear, 1),
    atLeast('1% failures and 1.3 times slower taken back at middle and high rates', shareTakenBack.subtle, 0.95),
    atMost('calls failed by a bad version in the first minute at middle and high rates', totals.firstMinuteFailedPartMax, 0.01)
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
