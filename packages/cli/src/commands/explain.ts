import { formatDuration, isIdempotent, METHODS, suggestion, type Config, type Route } from '@lentilwheel/config'
import { loadSnapshot, readHead } from '@lentilwheel/platform'
import { readPlatformView } from '../account/readPlatformView.js'
import type { TargetCount } from '../account/schema.js'
import { movesOf, type MoveView } from '../account/fleetView.js'
import { daemonFromOptions, withPlatform, type CommandContext, type CommonOptions } from '../context.js'
import { RouteNotFound, UsageError } from '../errors.js'
import { Reporter } from '../output/reporter.js'

/** The report of `explain`. */
export interface Explanation {
  route: string
  version: number
  service: string
  /** Share of traffic by target version, 0 to 1. */
  shares: Record<string, number>
  /** Targets of the service as the daemon given by --daemon sees them; absent without it. */
  targets?: TargetCount[]
  sentences: string[]
}

/** Explains in sentences to which service and versions the calls of a route go, and why. */
export async function explain (ctx: CommandContext, name: string, opts: CommonOptions): Promise<void> {
  const reporter = new Reporter(ctx, opts)
  if (reporter.format === 'csv') throw new UsageError('explain has no CSV form')
  const targets = await readTargets(ctx, opts)
  await withPlatform(ctx, opts, async (client) => {
    const snapshot = await loadSnapshot(client, (await readHead(client)).head)
    const moves = movesOf(await readPlatformView(client))
    const explanation = explainRoute(snapshot.config, snapshot.version, name, moves, targets)
    reporter.json(explanation)
    for (const sentence of explanation.sentences) reporter.print(sentence)
  })
}

async function readTargets (ctx: CommandContext, opts: CommonOptions): Promise<TargetCount[] | undefined> {
  return (await daemonFromOptions(ctx, opts)?.status(false))?.targets
}

/** Explains a route by the configuration, the moves and, if known, the targets. */
export function explainRoute (
  cfg: Config, version: number, name: string, moves: readonly MoveView[], targets?: readonly TargetCount[]
): Explanation {
  const route = Object.hasOwn(cfg.routes, name) ? cfg.routes[name] : undefined
  if (!route) {
    throw new RouteNotFound(`version ${version} has no route "${name}"${suggestion(name, Object.keys(cfg.routes))}`)
  }
  const move = moves.find((candidate) => candidate.service === route.service && candidate.control !== undefined)
  const shares = trafficShares(cfg.services[route.service]!.current, move)
  const serviceTargets = targets?.filter((target) => target.service === route.service)
  return {
    route: name,
    version,
    service: route.service,
    shares,
    ...(serviceTargets && { targets: serviceTargets }),
    sentences: [
      `By version ${version}, ${describeCalls(route)} go by route "${name}" to service "${route.service}".`,
      ...shareSentences(shares, move),
      ...callSentences(cfg, route),
      ...targetSentences(shares, serviceTargets)
    ]
  }
}

function describeCalls (route: Route): string {
  const methods = route.methods ? `${joinWords(route.methods, 'or')} calls` : 'calls of any method'
  const path = route.path.endsWith('*') ? `whose path starts with ${route.path.slice(0, -1)}` : `to ${route.path}`
  const host = route.host ? ` on host ${route.host}` : ''
  const headers = Object.entries(route.headers ?? {}).map(([key, value]) => `${key}: ${value}`)
  return `${methods} ${path}${host}${headers.length === 0 ? '' : ` with ${joinWords(headers, 'and')}`}`
}

function joinWords (items: readonly string[], word: 'and' | 'or'): string {
  return items.length < 2 ? items.join('') : `${items.slice(0, -1).join(', ')} ${word} ${items.at(-1)}`
}

/** A move that has ended keeps its final share, until the configuration changes the current version of the service. */
function trafficShares (current: string, move: MoveView | undefined): Record<string, number> {
  if (!move) return { [current]: 1 }
  const isRolledBack = move.outcome === 'takenBack' || move.control === 'takeBack'
  const share = isRolledBack ? 0 : move.share ?? 0
  return { [move.from]: 1 - share, [move.to]: share }
}

function shareSentences (shares: Readonly<Record<string, number>>, move: MoveView | undefined): string[] {
  const shareTexts = Object.entries(shares).map(([version, share]) => `${percent(share)} to version ${version}`)
  if (!move) return [`It sends ${shareTexts.join(' and ')}, its current version; no move changes it.`]
  const reason = move.reason === undefined ? '' : ` (${move.reason})`
  const deadline = move.outcome ? '' : `, due by ${move.by}`
  return [`It sends ${joinWords(shareTexts, 'and')}, because move "${move.id}" is ${move.state}${reason}${deadline}.`]
}

function percent (share: number): string {
  return `${Number((share * 100).toFixed(1))}%`
}

function callSentences (cfg: Config, route: Route): string[] {
  const service = cfg.services[route.service]!
  const timeout = formatDuration(route.timeout ?? service.timeout)
  const methods = route.methods ?? METHODS
  const idempotentMethods = methods.filter((method) => isIdempotent(route, service, method))
  const retries = idempotentMethods.length === 0
    ? 'A call that may have run is never repeated.'
    : `${idempotentMethods.length === methods.length ? 'A call' : `A ${joinWords(idempotentMethods, 'or')} call`} may be repeated, ` +
      `up to ${service.maxAttempts} attempts.`
  return [`A call has ${timeout} in all. ${retries}`]
}

function targetSentences (
  shares: Readonly<Record<string, number>>, targets: readonly TargetCount[] | undefined
): string[] {
  if (!targets) return ['Targets are known to daemons only; add --daemon <admin address> to see them by data centre.']
  return Object.keys(shares).map((version) => {
    const versionTargets = targets.filter((target) => target.version === version && target.total > 0)
    const countTexts = versionTargets.map((target) => `${target.ready} of ${target.total} ready in ${target.dataCentre}`)
    if (countTexts.length > 0) return `Targets of version ${version}: ${countTexts.join(', ')}.`
    return `No target of version ${version} is announced.`
  })
}
