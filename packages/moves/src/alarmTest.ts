import { ALARM_CLEARED, ALARM_TEST_MAX_MS, ALARM_TEST_MIN_MS } from './constants.js'
import { NO_BAD_CALLS, type Alarm } from './holdAlarm.js'
import type { VersionTest } from './versionTest.js'

/** Rate taken for an alarm that an earlier coordinator raised. */
const UNKNOWN_ALARM: Alarm = { kind: 'errors', rate: 0.01, peaks: NO_BAD_CALLS }
/** Normal rate of bad calls, as a part of the alarm's rate, while the old version has shown no higher one. */
const NORMAL_PART = 0.1
/** Calls by which the old version's rate is drawn toward the normal one. */
const PRIOR_CALLS = 20

export type AlarmResult = 'wait' | 'cleared' | 'undecided'

/** Decides when a concurrent test after a hold alarm has seen enough to clear the new version. */
export class AlarmTest {
  readonly alarm: Alarm
  #startedAt = 0

  constructor (alarm: Alarm = UNKNOWN_ALARM) {
    this.alarm = alarm
  }

  start (now: number): void {
    this.#startedAt = now
  }

  /** A bad version is rolled back by the test's own verdict before this is asked. */
  result (now: number, test: VersionTest): AlarmResult {
    const elapsed = now - this.#startedAt
    if (elapsed >= ALARM_TEST_MAX_MS) return 'undecided'
    return elapsed >= ALARM_TEST_MIN_MS && !test.isSuspicious && this.#isCleared(test) ? 'cleared' : 'wait'
  }

  /**
   * Compares two explanations of the new version's calls in the test: the rate that raised the alarm still holds, or
   * they go as the old version's do.
   */
  #isCleared (test: VersionTest): boolean {
    const { callsNew, badNew, callsOld, badOld } = test.sums(this.alarm.kind)
    const normal = this.alarm.rate * NORMAL_PART
    const old = (badOld + normal * PRIOR_CALLS) / (callsOld + PRIOR_CALLS)
    if (old >= this.alarm.rate) return true
    const rate = Math.max(normal, old)
    const evidence = badNew * Math.log(this.alarm.rate / rate) +
      (callsNew - badNew) * Math.log((1 - this.alarm.rate) / (1 - rate))
    return evidence <= -Math.log(ALARM_CLEARED)
  }
}
