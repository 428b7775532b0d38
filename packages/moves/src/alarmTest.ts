import { ALARM_CLEARED, ALARM_TEST_MAX_MS, ALARM_TEST_MIN_MS } from './constants.js'
import { NO_BAD_CALLS } from './evidence.js'
import type { Alarm } from './holdAlarm.js'
import type { VersionTest } from './versionTest.js'

/** Alarm taken for granted when an earlier coordinator raised it. */
const UNKNOWN_ALARM: Alarm = { kind: 'errors', rate: 0.01, peaks: NO_BAD_CALLS }
/** Part of the alarm's rate that the test looks for: the streak that raises an alarm overstates the rate. */
const LASTING_PART = 0.5
/** Normal rate of bad calls, as a part of the one looked for, while the old version has shown no higher one. */
const NORMAL_PART = 0.1
/** Calls by which the old version's rate is drawn toward the normal one. */
const PRIOR_CALLS = 20

/** Sum of both e-values (2 for equal versions) from which an alarm that isn't cleared counts against the new version. */
const DOUBT = 6

export type AlarmResult = 'wait' | 'cleared' | 'doubtful' | 'worse'

/** Concurrent test after a hold alarm: decides when enough has been seen to clear the new version. */
export class AlarmTest {
  readonly alarm: Alarm
  readonly test: VersionTest
  readonly #startedAt: number

  constructor (alarm: Alarm | undefined, test: VersionTest, now: number) {
    this.alarm = alarm ?? UNKNOWN_ALARM
    this.test = test
    this.#startedAt = now
  }

  /** A bad version is rolled back by the test's own verdict before this is asked. */
  result (now: number): AlarmResult {
    const elapsed = now - this.#startedAt
    const evidence = this.#evidence()
    const clear = evidence <= -Math.log(ALARM_CLEARED) && !this.test.isSuspicious
    if (clear && elapsed >= ALARM_TEST_MIN_MS) return 'cleared'
    if (elapsed < ALARM_TEST_MAX_MS) return 'wait'
    const worse = evidence > 0 && this.test.errorEvidence + this.test.slowEvidence >= DOUBT
    return worse || this.test.isSuspicious ? 'worse' : 'doubtful'
  }

  /**
   * Log-likelihood ratio of two explanations of the new version's calls in the test: a lasting part of the alarm's
   * rate, or the rate of the old version's calls at the same time.
   */
  #evidence (): number {
    const { callsNew, badNew, callsOld, badOld } = this.test.sums(this.alarm.kind, this.alarm.route)
    const lasting = this.alarm.rate * LASTING_PART
    const normal = lasting * NORMAL_PART
    const old = (badOld + normal * PRIOR_CALLS) / (callsOld + PRIOR_CALLS)
    if (old >= lasting) return -Infinity
    return badNew * Math.log(lasting / old) + (callsNew - badNew) * Math.log((1 - lasting) / (1 - old))
  }
}
