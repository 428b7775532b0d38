import type { RouteQuery } from '../account/nodeDaemonAdminClient.js'
import type { RouteExplanation } from '../account/schema.js'
import { daemonFromOptions, textOption, type CommandContext, type CommonOptions } from '../context.js'
import { UsageError } from '../errors.js'
import { Reporter } from '../output/reporter.js'

export interface ExplainRouteOptions extends CommonOptions {
  method?: unknown
  workspace?: unknown
}

type ExplainedService = RouteExplanation['services'][number]
type ExplainedVersion = ExplainedService['versions'][number]
type Candidate = ExplainedVersion['candidates'][number]
type Figures = NonNullable<Candidate['figures']>

/** Asks a daemon with a target where it would send a request now, and why; nothing is sent. */
export async function explainRoute (ctx: CommandContext, host: string, path: string, opts: ExplainRouteOptions): Promise<void> {
  const reporter = new Reporter(ctx, opts)
  if (reporter.format === 'csv') throw new UsageError('explain-route has no CSV form')
  const daemon = daemonFromOptions(ctx, opts)
  if (!daemon) throw new UsageError('explain-route needs --daemon with the metrics address of a daemon')
  if (!path.startsWith('/')) throw new UsageError(`"${path}" is not a path that starts with "/"`)
  const workspace = textOption(opts.workspace, 'workspace')
  const query: RouteQuery = { method: textOption(opts.method, 'method') ?? 'GET', host, path, ...workspace === undefined ? {} : { workspace } }
  const explanation = await daemon.explainRoute(query)
  reporter.json(explanation)
  for (const sentence of routeSentences(query, explanation)) reporter.print(sentence)
}

/** The explanation in sentences, one a line. */
export function routeSentences (query: RouteQuery, explanation: RouteExplanation): string[] {
  const { daemon, dataCentre, config, route, rejection, services } = explanation
  const start = `Daemon ${daemon} in ${dataCentre}, by version ${config}: ${query.method} ${query.host}${query.path}`
  const routeText = route ? ` goes by route "${route.name}" (${route.pathPrefix})` : ''
  if (rejection) return [`${start}${routeText}${route ? ' and' : ''} is rejected with ${rejectionText(rejection)}.`]
  return [`${start}${routeText}.`, callerSentence(explanation), ...limitSentences(explanation), ...services.flatMap(serviceSentences)]
}

function rejectionText ({ status, reason, retryAfterMs }: NonNullable<RouteExplanation['rejection']>): string {
  return `${status} (${reason})${retryAfterMs === undefined ? '' : `, to be retried after ${retryAfterMs} ms`}`
}

function callerSentence ({ workspace, priority }: RouteExplanation): string {
  const caller = workspace ? `Its caller belongs to workspace "${workspace.name}"` : 'Its caller has no workspace'
  const quota = workspace && workspace.ratePerS > 0
    ? `; the quota is ${workspace.ratePerS} requests a second and a burst of ${workspace.burst}, and is not asked here`
    : ''
  return `${caller}; its priority is ${priority?.value ?? 'unknown'}, that of the ${priority?.from ?? 'route'}${quota}.`
}

function limitSentences ({ route }: RouteExplanation): string[] {
  if (!route) return []
  const repeats = route.idempotent ? 'may run more than once' : 'runs at most once'
  return [`It has ${route.timeoutMs} ms in all and a target latency of ${route.targetLatencyMs} ms; it ${repeats}; attempts: at most ${route.maxAttempts}.`]
}

function serviceSentences ({ service, share, versions }: ExplainedService): string[] {
  return [`${percent(share)} go to service "${service}".`, ...versions.flatMap((version) => versionSentences(version, versions.length > 1))]
}

function versionSentences (version: ExplainedVersion, isSplit: boolean): string[] {
  const { share, standing, candidates } = version
  const versionName = candidates[0] ? `version ${candidates[0].version}` : 'a version without targets'
  return [
    ...isSplit ? [`  ${percent(share)} of these go to ${versionName}.`] : [],
    ...standing === 'clear' ? [] : [`  The request may crash targets: it is ${standing}.`],
    `  ${firstSentence(version)}`,
    ...candidates.map((candidate, i) => `  ${i + 1}. ${candidateText(candidate)}`)
  ]
}

const OFFER_MODES: Readonly<Record<string, string>> = {
  now: 'for a slot that is free at once',
  queue: 'for its queue',
  ask: 'with a question for a free slot, as its body is large'
}

function firstSentence ({ first }: ExplainedVersion): string {
  switch (first?.kind) {
    case 'offer':
      return `It would be offered to ${first.host} first, ${OFFER_MODES[first.mode] ?? first.mode}.`
    case 'wait':
      return `Nothing takes it now: it would wait for ${first.ms} ms and look again.`
    case 'reject':
      return `It would be rejected with ${rejectionText(first.rejection)}.`
    default:
      return 'What it would meet first is not known.'
  }
}

function candidateText ({ host, targetId, version, isLocal, costMs, isQueueFull, figures }: Candidate): string {
  const place = isLocal ? 'same data centre' : 'another data centre'
  const states = [...figures ? stateTexts(figures) : [], ...isQueueFull ? ['queue too long'] : []]
  return `${host}, target ${targetId}, version ${version}, ${place}: cost ${Math.round(costMs)} ms; ${loadText(figures)}${states.map((text) => `; ${text}`).join('')}.`
}

function loadText (figures: Figures | undefined): string {
  const inFlight = `offers in flight: ${figures?.inFlight ?? 0}`
  if (!figures?.load) return `no load known; ${inFlight}`
  const { running, queued, slots, pace, failing } = figures.load
  return `${running} running and ${queued} waiting for ${slots} slots, pace ${pace}, ${percent(failing)} failing, as of ${figures.loadAgeMs ?? 0} ms ago; ${inFlight}`
}

/** States that hold for a while. */
function stateTexts ({ avoidMs, busyMs, limitedMs, coldMs }: Figures): string[] {
  const states: [name: string, ms: number][] = [['avoided', avoidMs], ['busy', busyMs], ['over its limit', limitedMs], ['cold', coldMs]]
  return states.filter(([, ms]) => ms > 0).map(([name, ms]) => `${name} for ${ms} ms`)
}

function percent (share: number): string {
  return `${Number((share * 100).toFixed(1))}%`
}
