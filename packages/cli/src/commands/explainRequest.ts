import type { CommandContext, CommonOptions } from '../context.js'
import { RequestNotLogged, UsageError } from '../errors.js'
import { Reporter } from '../output/reporter.js'

/** One log line of a daemon of the call path. */
export interface LogLine {
  at: number
  host: string
  what: string
  [field: string]: unknown
}

export interface RequestStory {
  id: string
  lines: LogLine[]
  sentences: string[]
}

/** Reads log lines of several daemons and tells the way of one request and why it ended as it did. */
export function explainRequest (ctx: CommandContext, id: string, files: readonly string[], opts: CommonOptions): void {
  const reporter = new Reporter(ctx, opts)
  if (reporter.form === 'csv') throw new UsageError('explain-request has no CSV form')
  const texts = files.map((file) => new TextDecoder().decode(ctx.readFile(file)))
  const story = tellRequest(id, texts.flatMap(parseLog))
  reporter.json(story)
  for (const sentence of story.sentences) reporter.say(sentence)
}

/** Lines that hold a JSON object with a time, a host and a kind; whatever stands before the object is skipped. */
export function parseLog (text: string): LogLine[] {
  return text.split('\n').flatMap((line) => {
    const start = line.indexOf('{"at":')
    if (start < 0) return []
    try {
      const value = JSON.parse(line.slice(start)) as LogLine
      return typeof value.at === 'number' && typeof value.host === 'string' && typeof value.what === 'string' ? [value] : []
    } catch {
      // A line that was cut by a kill of its process says nothing.
      return []
    }
  })
}

export function tellRequest (id: string, log: readonly LogLine[]): RequestStory {
  const own = log.filter((line) => line['id'] === id)
  if (own.length === 0) {
    const omitted = log.some((line) => line.what === 'linesOmitted')
    throw new RequestNotLogged(`no line names request "${id}"${omitted ? '; some lines were left out to bound the volume' : ''}`)
  }
  const calls = new Set(own.map((line) => line['call']).filter((call) => call !== undefined) as unknown[])
  const lines = log.filter((line) => line['id'] === id || calls.has(line['call'])).sort((a, b) => a.at - b.at)
  const context = contextOf(lines, log)
  return { id, lines, sentences: [...lines.map(sentenceOf), ...context, causeOf(lines)] }
}

function sentenceOf (line: LogLine): string {
  const time = new Date(line.at).toISOString().slice(11, 23)
  return `${time} ${line.host}: ${stepOf(line)}.`
}

function stepOf (line: LogLine): string {
  const outcome = String(line['outcome'] ?? '')
  switch (line.what) {
    case 'outbound':
      return `ended it with ${outcome}${reasonOf(line)} after ${line['ms'] ?? 0} ms and ${line['offers'] ?? 0} offers, ` +
        `on route ${line['route'] ?? 'none'} of configuration ${line['config'] ?? 'unknown'}`
    case 'attempt':
      return `offered it to ${line['peer']} (target ${line['target']}, ${line['mode']}): ${outcome}, ` +
        (line['ran'] === true ? 'so it may have run there' : 'so it did not run there')
    case 'inbound':
      return `target ${line['target']} gave ${outcome} after ${line['ms'] ?? 0} ms and ${line['queuedMs'] ?? 0} ms of waiting ` +
        `(${line['running']} running, ${line['queued']} waiting)`
    case 'boundPassed':
      return `closed the connection of its ${line['from']}, which passed the bound ${line['bound']} (${line['limit']}) with ${line['bytes']} bytes`
    case 'settled':
      return `was asked how call ${line['call']} ended: ${line['settlement']}`
    default:
      return `${line.what}${reasonOf(line)}`
  }
}

function reasonOf (line: LogLine): string {
  return line['reason'] === undefined ? '' : ` (${String(line['reason'])})`
}

/** Changes of belief on the hosts of the request, shortly before it ended. */
function contextOf (lines: readonly LogLine[], log: readonly LogLine[]): string[] {
  const hosts = new Set(lines.map(({ host }) => host))
  const end = lines.at(-1)!.at
  const related = log.filter((line) => hosts.has(line.host) && BELIEFS.has(line.what) && line.at <= end && end - line.at <= CONTEXT_MS)
  return related.slice(-MAX_CONTEXT).map((line) => `Before: ${sentenceOf(line)}`)
}

const CONTEXT_MS = 3_000
const MAX_CONTEXT = 8
const BELIEFS: ReadonlySet<string> = new Set([
  'peerDown', 'peerUp', 'linkSilent', 'target', 'targetLeft', 'storeLost', 'storeBack', 'configInForce', 'moveFact', 'moveOrder', 'started',
  'stopping', 'readiness', 'leavingsRecalled'
])

const CAUSES: Readonly<Record<string, string>> = {
  busy: 'All targets that were asked had their slots taken, and the queue was too long to be served in its target latency.',
  noTarget: 'No target of the service was known, reachable and taking work.',
  noRoute: 'The configuration in force has no route for its host and path.',
  noConfiguration: 'The daemon had no configuration yet.',
  displacing: 'The calls that it makes go to a service that turned more urgent requests away at that time.',
  shed: 'The targets refused it themselves, and the retry budget or the route allowed no other.',
  deadline: 'Its time was over before a target answered.',
  expired: 'Its time was over while it waited for a slot.',
  timeout: 'The target was silent until its time was over.',
  reset: 'The target broke the connection while the request was with it.',
  cut: 'The target broke off its answer.',
  garbled: 'The target sent something that is not its whole answer.',
  unbounded: 'The target sent more than an answer may have, and its connection was closed.',
  lost: 'The link to the daemon beside the target broke, and how the call ended could not be learned.',
  stopping: 'The daemon was about to stop.',
  unreachable: 'The target refused connections.'
}

function causeOf (lines: readonly LogLine[]): string {
  const end = lines.findLast((line) => line.what === 'outbound')
  if (!end) return 'Its end is not logged: the daemon of its caller stopped before, or left the line out.'
  const outcome = end['outcome']
  if (typeof outcome === 'number' && outcome < 400) return `It was answered with ${outcome}.`
  if (outcome === 'callerLeft') return 'Its caller left before it was answered.'
  const reason = String(end['reason'] ?? '')
  const failed = lines.findLast((line) => line.what === 'attempt' && line['ran'] === true)
  if (reason === '' && failed) return `Cause: target ${failed['target']} answered ${failed['outcome']} itself.`
  const promise = end['notRun'] === true ? ' It did not run, and the caller was told when to come back.' : ''
  return `Cause: ${CAUSES[reason] ?? `${reason || `status ${outcome}`}.`}${promise}`
}
