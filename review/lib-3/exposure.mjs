/** Figures of the site `kitaboshi-mesh`. */
const EXPOSURE_SHARE = 0.1
const EXPOSURE_SLACK = 50
const ROLLBACK_MS = 5_000
const BAD_ANSWERS = 50

/**
 * Judges rule EXPOSURE for a bad version of a service, with its bounds: what it ran between the order and its time budget, and whether it got a
 * request that was sent too late after its 50th bad answer. Returns undefined if the rule held.
 */
export function judgeExposure (record, { runs, sentAt, version, orderedAt, durationMs }) {
  const inWindow = runs.filter(({ at }) => at >= orderedAt && at < orderedAt + durationMs)
  const exposed = inWindow.filter((run) => run.version === version)
  const bad = runs.filter((run) => run.version === version && run.at >= orderedAt && run.status >= 500)
  const bound = inWindow.length * EXPOSURE_SHARE + EXPOSURE_SLACK
  const fiftiethAt = bad[BAD_ANSWERS - 1]?.at ?? Infinity
  const late = runs.filter((run) => run.version === version && (sentAt.get(run.requestId) ?? 0) > fiftiethAt + ROLLBACK_MS)
  record.add(`runs of the service between the order and its time budget: ${inWindow.length}, of them on ${version}: ${exposed.length} (at most ${bound.toFixed(1)})`)
  record.add(`bad answers of ${version} since the order: ${bad.length}`)
  record.add(`requests sent later than ${ROLLBACK_MS} ms after the 50th bad answer that ${version} got: ${late.length} (at most 0)`)
  if (exposed.length > bound) return `EXPOSURE: ${version} got ${exposed.length} of ${inWindow.length} requests, at most ${bound.toFixed(1)} are allowed`
  return late.length > 0 ? `EXPOSURE: ${version} got ${late.length} requests later than ${ROLLBACK_MS} ms after its 50th bad answer` : undefined
}
