/** A crash report as far as counting needs it; `at` in milliseconds. */
export interface CountedReport {
  readonly service: string
  readonly suspects: ReadonlySet<string>
  readonly at: number
}

/** Crashes that count against a request, and how many of them came while no other target ended. */
export interface CrashCounts {
  total: number
  lone: number
}

/**
 * Crashes of a request within this time of each other may be one event, such as the loss of a rack: daemons notice one at
 * different times. Shorter than a request is held after a crash, so crashes of one run after the other are never taken for one.
 */
const SAME_MOMENT_MS = 120
/** Time before and after in which the end of a target that did not run the request shows such an event. */
const EVENT_WINDOW_MS = 500
/** Time in which reports of other crashes of the same moment may still arrive. */
export const REPORT_DELAY_MS = SAME_MOMENT_MS

/**
 * Crashes that count against a request: those on whose reports it is left. Where a target of the service that did not run it ended
 * at about the same time, something else may have ended them all, and the crashes of that moment count as one. They do so too while
 * reports of such targets may still arrive.
 */
export function countCrashes (fingerprint: string, reports: Iterable<CountedReport>, now: number): CrashCounts {
  const all = [...reports].sort((a, b) => a.at - b.at)
  const own = all.filter(({ suspects }) => suspects.has(fingerprint))
  const services = new Set(own.map(({ service }) => service))
  const others = all.filter(({ service, suspects }) => services.has(service) && !suspects.has(fingerprint))
  const counts: CrashCounts = { total: 0, lone: 0 }
  for (const moment of moments(own)) {
    const from = moment[0]!.at
    const to = moment.at(-1)!.at
    const isSettled = now - to >= REPORT_DELAY_MS
    const isLone = isSettled && !others.some(({ at }) => at > from - EVENT_WINDOW_MS && at < to + EVENT_WINDOW_MS)
    counts.total += isLone ? moment.length : 1
    if (isLone) counts.lone += moment.length
  }
  return counts
}

/** Groups reports, given in the order of their times, so that each is close to the one before. */
function * moments (reports: readonly CountedReport[]): Generator<CountedReport[]> {
  let group: CountedReport[] = []
  for (const report of reports) {
    const previous = group.at(-1)
    if (previous && report.at - previous.at >= SAME_MOMENT_MS) {
      yield group
      group = []
    }
    group.push(report)
  }
  if (group.length > 0) yield group
}
