import type { Metrics } from '@lentilwheel/core'

/** Counts of the per-call path; plain fields, sent to the metrics sink once a second. */
export class ProxyCounters {
  calls = 0
  refused = 0
  attempts = 0
  retries = 0
  retriesDenied = 0
  failedAttempts = 0
  timeouts = 0
  callerAborts = 0
  brokenAnswers = 0
  queued = 0
  ejections = 0

  /** Sends what was counted since the last flush. */
  flush (metrics: Metrics): void {
    for (const name of COUNTER_NAMES) {
      if (this[name] > 0) metrics.count(`proxy.${name}`, this[name])
      this[name] = 0
    }
  }
}

export const COUNTER_NAMES = [
  'calls', 'refused', 'attempts', 'retries', 'retriesDenied', 'failedAttempts', 'timeouts', 'callerAborts',
  'brokenAnswers', 'queued', 'ejections'
] as const
