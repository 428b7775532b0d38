import type { Metrics } from '@lentilwheel/core'

/** Counters of the proxy. Plain fields, so that counting costs little per call; sent to the metrics sink once a second. */
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

  /** Sends the counts since the last flush and resets them. */
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
