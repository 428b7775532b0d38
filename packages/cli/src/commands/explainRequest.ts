import type { CommandContext, CommonOptions } from '../context.js'
import { RequestNotLogged, UsageError } from '../errors.js'
import { Reporter } from '../output/reporter.js'

/** One line of the call log that a hop daemon writes. */
export interface LogLine {
  at: number
  host: string
  what: string
  [field: string]: unknown
}

/** The report of `explain-request`: the log lines that concern the request, and what they say in sentences. */
export interface RequestExplanation {
  id: string
  lines: LogLine[]
  sentences: string[]
}

/** Reconstructs the path of one request from the logs of several daemons, and the cause of its outcome. */
export function explainRequest (ctx: CommandContext, id: string, files: readonly string[], opts: CommonOptions): void {
  const reporter = new Reporter(ctx, opts)
  if (reporter.format === 'csv') throw new UsageError('explain-request has no CSV form')
  const texts = files.map((file) => new TextDecoder().decode(ctx.readFile(file)))
  const explanation = explainFromLog(id, texts.flatMap(parseLog))
  reporter.json(explanation)
  for (const sentence of explanation.sentences) reporter.print(sentence)
}

/** Parses the lines that contain a JSON object with `at`, `host` and `what`; a prefix before the object is ignored. */
export function parseLog (text: string): LogLine[] {
  return text.split('\n').flatMap((line) => {
    const start = line.indexOf('{"at":')
    if (start < 0) return []
    try {
      const value = JSON.parse(line.slice(start)) as LogLine
      return typeof value.at === 'number' && typeof value.host === 'string' && typeof value.what === 'string' ? [value] : []
    } catch {
      // Skips a line that is incomplete because its process was killed.
      return []
    }
  })
}

/** Explains a request by the lines that have its id and those that share a call with them, such as later settlements. */
export function explainFromLog (id: string, log: readonly LogLine[]): RequestExplanation {
  const requestLines = log.filter((line) => line['id'] === id)
  if (requestLines.length === 0) {
    const omitted = log.some((line) => line.what === 'linesOmitted')
    throw new RequestNotLogged(`no line names request "${id}"${omitted ? '; some lines were left out to limit the volume' : ''}`)
  }
  const calls = new Set(requestLines.map((line) => line['call']).filter((call) => call !== undefined) as unknown[])
  const lines = log.filter((line) => line['id'] === id || calls.has(line['call'])).sort((a, b) => a.at - b.at)
  const context = [...crashSentences(lines, log), ...contextSentences(lines, log)]
  return { id, lines, sentences: [...lines.map((line) => lineSentence(line)), ...context, causeSentence(lines)] }
}

function lineSentence (line: LogLine, description = describeLine(line)): string {
  const time = new Date(line.at).toISOString().slice(11, 23)
  return `${time} ${line.host}: ${description}.`
}

/** Where the time of a request went, if its line tells. */
function waitsSuffix ({ waits }: LogLine): string {
  if (!Array.isArray(waits)) return ''
  const [placing, queue, target, transit] = waits as number[]
  return ` (${placing} ms until it was placed, ${queue} ms for a slot, ${target} ms at the target, ${transit} ms on the way)`
}

/** Whose request it was, if its caller had a key. */
function workspaceSuffix ({ workspace }: LogLine): string {
  return workspace === undefined ? '' : ` for workspace ${workspace}`
}

function describeLine (line: LogLine): string {
  const outcome = String(line['outcome'] ?? '')
  switch (line.what) {
    case 'outbound':
      return `ended it with ${outcome}${reasonSuffix(line)} after ${line['ms'] ?? 0} ms and ${line['offers'] ?? 0} offers, ` +
        `on route ${line['route'] ?? 'none'} of configuration ${line['config'] ?? 'unknown'}${workspaceSuffix(line)}${waitsSuffix(line)}`
    case 'attempt':
      return `offered it to ${line['peer']} (target ${line['target']}, ${line['mode']}): ${outcome}, ` +
        (line['ran'] === true ? 'so it may have run there' : 'so it did not run there')
    case 'inbound':
      return `target ${line['target']} gave ${outcome} after ${line['ms'] ?? 0} ms and ${line['queuedMs'] ?? 0} ms of waiting ` +
        `(${line['running']} running, ${line['queued']} waiting)`
    case 'boundPassed':
      return `closed the connection of its ${line['from']}, which exceeded the limit ${line['bound']} (${line['limit']}) with ${line['bytes']} bytes`
    case 'requestBlocked':
      return `blocked the request for ${Math.round(Number(line['forMs']) / MS_PER_MINUTE)} minutes, after the crashes ${String(line['reports'])}`
    case 'settled':
      return `was asked how call ${line['call']} ended: ${line['settlement']}`
    default:
      return `${line.what}${reasonSuffix(line)}`
  }
}

function reasonSuffix (line: LogLine): string {
  return line['reason'] === undefined ? '' : ` (${String(line['reason'])})`
}

/** The crashes that count against the request, and the decision to block it, from the lines of any host. */
function crashSentences (lines: readonly LogLine[], log: readonly LogLine[]): string[] {
  const request = lines.find((line) => typeof line['request'] === 'string')?.['request']
  if (request === undefined) return []
  return log.filter((line) => line.at <= lines.at(-1)!.at).flatMap((line) => {
    if (line.what === 'requestBlocked' && line['request'] === request) return [`Before: ${lineSentence(line)}`]
    const run = line.what === 'targetCrashed' ? runOf(line, request) : undefined
    return run ? [`Before: ${lineSentence(line, `target ${line['target']} crashed ${run.ms} ms after it began to run this request, then with id ${run.id}`)}`] : []
  })
}

/** The run of a request on a target that crashed, by the request's fingerprint. */
function runOf (line: LogLine, request: unknown): { id: string, ms: number } | undefined {
  const running = Array.isArray(line['running']) ? line['running'] as { id: string, request: unknown, ms: number }[] : []
  return running.find((run) => run.request === request)
}

/** State changes that the hosts of the request logged shortly before it ended, such as a lost peer. */
function contextSentences (lines: readonly LogLine[], log: readonly LogLine[]): string[] {
  const hosts = new Set(lines.map(({ host }) => host))
  const end = lines.at(-1)!.at
  const related = log.filter((line) =>
    hosts.has(line.host) && CONTEXT_EVENTS.has(line.what) && line.at <= end && end - line.at <= CONTEXT_WINDOW_MS)
  return related.slice(-MAX_CONTEXT_LINES).map((line) => `Before: ${lineSentence(line)}`)
}

const MS_PER_MINUTE = 60_000
/** Limits of the state changes that are shown: how long before the end of the request, and how many. */
const CONTEXT_WINDOW_MS = 3_000
const MAX_CONTEXT_LINES = 8
const CONTEXT_EVENTS: ReadonlySet<string> = new Set([
  'peerDown', 'peerUp', 'linkSilent', 'target', 'targetLeft', 'storeLost', 'storeBack', 'configInForce', 'moveFact', 'moveOrder', 'started',
  'stopping', 'readiness', 'leavingsRecalled', 'targetLimit', 'targetLeaving', 'evacuation'
])

/** What the `reason` of a failed request means. */
const CAUSES: Readonly<Record<string, string>> = {
  busy: 'All targets that were asked had their slots taken, and the queue was too long to be served in its target latency.',
  limited: 'The targets that were asked took no more requests a second, by the limits that they state.',
  noTarget: 'No target of the service was known, reachable and taking work.',
  evacuated: 'The targets that were asked are in an evacuated data centre.',
  noRoute: 'The configuration in force has no route for its host and path.',
  noConfiguration: 'The daemon had no configuration yet.',
  unknownKey: 'No workspace of the configuration in force has its key, or what it carried is no key.',
  keyMissing: 'It carried no key, and its route is not open to callers without one.',
  quotaExceeded: 'Its workspace had used up its quota.',
  quotaUnknown: 'No daemon that counts the requests of its workspace could be asked in time.',
  displacing: 'The calls that it makes go to a service that rejected more urgent requests at that time.',
  shed: 'The targets refused it themselves, and the retry budget or the route allowed no other.',
  deadline: 'Its time was over before a target answered.',
  expired: 'Its time was over while it waited for a slot.',
  timeout: 'The target was silent until its time was over.',
  reset: 'The target broke the connection while the request was with it.',
  cut: 'The target broke off its answer.',
  garbled: 'The target sent something that is not a valid response.',
  unbounded: 'The target sent a response that exceeds a size limit, and its connection was closed.',
  lost: 'The link to the daemon beside the target broke, and how the call ended could not be learned.',
  quarantined: 'It has crashed several targets, so it is refused until the block ends.',
  suspect: 'It ran on a target that crashed, and waits until it may be tried again.',
  crashed: 'The target ended while it ran there.',
  targetEnded: 'The target ended while it ran there, by something else: the request had run well there before.',
  stopping: 'The daemon was about to stop.',
  unreachable: 'The target refused connections.'
}

/** The cause by the last line of the outbound side, which logs the end of each request. */
function causeSentence (lines: readonly LogLine[]): string {
  const end = lines.findLast((line) => line.what === 'outbound')
  if (!end) return 'Its end is not logged: the daemon of its caller stopped before, or left the line out.'
  const outcome = end['outcome']
  if (typeof outcome === 'number' && outcome < 400) return `It was answered with ${outcome}.`
  if (outcome === 'callerLeft') return 'Its caller left before it was answered.'
  const reason = String(end['reason'] ?? '')
  const failed = lines.findLast((line) => line.what === 'attempt' && line['ran'] === true)
  if (reason === '' && failed) return `Cause: target ${failed['target']} answered ${failed['outcome']} itself.`
  const retryNote = end['notRun'] === true ? ' It did not run, and the caller was told when to retry.' : ''
  return `Cause: ${CAUSES[reason] ?? `${reason || `status ${outcome}`}.`}${retryNote}`
}
