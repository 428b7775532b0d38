import { ALARM_CLEAR_EXPECTED, ALARM_TEST_MAX_MS, ALARM_TEST_MIN_MS } from './constants.js'
import type { Alarm } from './holdAlarm.js'
import type { VersionTest } from './versionTest.js'

/** Rate taken for an alarm that an earlier coordinator raised. */
const UNKNOWN_ALARM_RATE = 0.01
const MIN_ALARM_RATE = 0.002

export type AlarmResult = 'wait' | 'cleared' | 'undecided'

/** Decides when a concurrent test after a hold alarm has seen enough to clear the new version. */
export class AlarmTest {
  readonly #rate: number
  #startedAt = 0

  constructor (alarm: Alarm | undefined) {
    this.#rate = Math.max(MIN_ALARM_RATE, alarm?.rate ?? UNKNOWN_ALARM_RATE)
  }

  start (now: number): void {
    this.#startedAt = now
  }

  /** A bad version is rolled back by the test's own verdict before this is asked. */
  result (now: number, test: VersionTest): AlarmResult {
    const elapsed = now - this.#startedAt
    if (elapsed >= ALARM_TEST_MAX_MS) return 'undecided'
    const enough = test.newCalls * this.#rate >= ALARM_CLEAR_EXPECTED
    return enough && elapsed >= ALARM_TEST_MIN_MS && !test.isSuspicious ? 'cleared' : 'wait'
  }
}
