/** A crash report as far as counting needs it; `at` in milliseconds. */
export interface CountedReport {
  readonly service: string
  readonly suspects: ReadonlySet<string>
  readonly at: number
}

/** Crashes within this time of each other may be one event, such as the loss of a rack. */
const SAME_MOMENT_MS = 30
/** Time in which reports of other crashes of the same moment may still arrive. */
export const REPORT_DELAY_MS = 100

/**
 * Number of crashes that count against a request: those on whose reports it is left. Where a target of the service that did not
 * run it ended at the same moment, something else has ended them all, and the crashes of that moment count as one. They do so
 * too while reports of such targets may still arrive.
 */
export function countCrashes (fingerprint: string, reports: Iterable<CountedReport>, now: number): number {
  const all = [...reports].sort((a, b) => a.at - b.at)
  const own = all.filter(({ suspects }) => suspects.has(fingerprint))
  const services = new Set(own.map(({ service }) => service))
  const others = all.filter(({ service, suspects }) => services.has(service) && !suspects.has(fingerprint))
  let count = 0
  for (const moment of moments(own)) {
    const isSettled = now - moment.at(-1)!.at >= REPORT_DELAY_MS
    const isShared = !isSettled || others.some(({ at }) => at > moment[0]!.at - SAME_MOMENT_MS && at < moment.at(-1)!.at + SAME_MOMENT_MS)
    count += isShared ? 1 : moment.length
  }
  return count
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
