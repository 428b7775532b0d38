import { readPlatformView } from '../account/readPlatformView.js'
import {
  countUnnamedLagging, laggingDaemons, movesOf, newestVersion, refusalsOf, rolloutProgress, type FleetView
} from '../account/fleetView.js'
import { daemonFromOptions, withPlatform, type CommandContext, type CommonOptions } from '../context.js'
import { UsageError } from '../errors.js'
import { Reporter } from '../output/reporter.js'
import { formatTime, pluralise } from '../output/text.js'
import { dataCentreRows, historyRows, laggingRows, moveRows, refusalRows } from '../reports/reportRows.js'

/** Refusals that `status` shows; `refusals` shows all. */
const MAX_STATUS_REFUSALS = 5

/** State of the fleet, read from the platform or from the daemon given by --daemon. */
export async function readFleetView (ctx: CommandContext, opts: CommonOptions): Promise<FleetView> {
  const daemon = daemonFromOptions(ctx, opts)
  return daemon ? await daemon.fleet() : await withPlatform(ctx, opts, readPlatformView)
}

/** Prints which version is active where, which daemons lack it and why, refusals and moves. */
export async function status (ctx: CommandContext, opts: CommonOptions & { debug?: boolean }): Promise<void> {
  if (opts.debug && opts.daemon === undefined) {
    throw new UsageError('--debug shows the proxy state of one daemon; add --daemon <admin address>')
  }
  const reporter = new Reporter(ctx, opts)
  const view = await readFleetView(ctx, opts)
  const debug = opts.debug ? (await daemonFromOptions(ctx, opts)!.status(true)).debug ?? {} : undefined
  const summary = summarise(view)
  reporter.notices(view.notices)
  reporter.json({ ...summary, ...(debug && { debug }) })
  for (const sentence of statusSentences(summary)) reporter.print(sentence)
  printTables(reporter, summary, view)
  if (debug && reporter.format === 'text') {
    reporter.heading(`Proxy state of daemon ${String(opts.daemon)}`)
    for (const [name, value] of Object.entries(debug)) reporter.print(`${name}: ${JSON.stringify(value)}`)
  }
}

type StatusSummary = ReturnType<typeof summarise>

function summarise (view: FleetView) {
  const version = newestVersion(view)
  const change = view.accepted?.changes.find((record) => record.version === version)
  return {
    source: view.source,
    version,
    ...(change && { acceptedAt: change.acceptedAt, author: change.author, changeId: change.id }),
    ...rolloutProgress(view.accounts, version),
    dataCentres: view.accounts.map(({ token: _token, ...account }) => account),
    lagging: laggingDaemons(view.accounts, version),
    unnamedLagging: countUnnamedLagging(view.accounts, version),
    refusals: refusalsOf(view),
    moves: movesOf(view)
  }
}

export function statusSentences (summary: StatusSummary): string[] {
  const { version, acceptedAt, author, holding, members, source } = summary
  if (version === 0) return ['No configuration is accepted yet. Apply one with `lentilwheel apply <file>`.']
  const accepted = acceptedAt === undefined ? '' : `, accepted ${formatTime(acceptedAt)} by ${author ?? 'unknown'},`
  const from = source === 'platform' ? '' : ` This is what ${source} knows; the platform was not asked.`
  if (members === 0) return [`Version ${version}${accepted} is known. No daemon has reported yet.${from}`]
  return [`Version ${version}${accepted} is in force on ${holding} of ${pluralise(members, 'daemon')}.${from}`]
}

function printTables (reporter: Reporter, summary: StatusSummary, view: FleetView): void {
  const section = (heading: string, isEmpty: boolean, print: () => void): void => {
    if (isEmpty && reporter.format === 'text') return
    reporter.heading(heading)
    print()
  }
  section('Data centres', summary.dataCentres.length === 0, () =>
    reporter.table('dataCentres', dataCentreRows(view, summary.version)))
  const isNoneLagging = summary.lagging.length + summary.unnamedLagging.length === 0
  section(`Daemons that lack version ${summary.version}`, isNoneLagging, () => {
    reporter.table('lagging', laggingRows(summary.lagging))
    for (const { dataCentre, count } of summary.unnamedLagging) {
      reporter.print(`${pluralise(count, 'further daemon')} in ${dataCentre}, which its account does not name.`)
    }
  })
  section('Refused', summary.refusals.length === 0, () => {
    const shown = reporter.format === 'text' ? summary.refusals.slice(0, MAX_STATUS_REFUSALS) : summary.refusals
    reporter.table('refusals', refusalRows(shown))
    const rest = summary.refusals.length - shown.length
    if (rest > 0) reporter.print(`${rest} more: see \`lentilwheel refusals\`.`)
  })
  section('Moves', summary.moves.length === 0, () => reporter.table('moves', moveRows(summary.moves)))
}

/** Prints the moves and their progress. */
export async function listMoves (ctx: CommandContext, opts: CommonOptions): Promise<void> {
  const reporter = new Reporter(ctx, opts)
  const view = await readFleetView(ctx, opts)
  const moves = movesOf(view)
  reporter.notices(view.notices)
  reporter.json({ source: view.source, moves })
  reporter.table('moves', moveRows(moves))
  if (moves.length === 0) reporter.print('There are no moves.')
}

/** Prints the versions that daemons refused, with the reasons. */
export async function refusals (ctx: CommandContext, opts: CommonOptions): Promise<void> {
  const reporter = new Reporter(ctx, opts)
  const view = await readFleetView(ctx, opts)
  const refused = refusalsOf(view)
  reporter.notices(view.notices)
  reporter.json({ source: view.source, refusals: refused })
  reporter.table('refusals', refusalRows(refused))
  if (refused.length === 0) reporter.print('No daemon reports a refusal.')
}

/** Prints the accepted changes, newest first. */
export async function history (ctx: CommandContext, opts: CommonOptions): Promise<void> {
  if (opts.daemon !== undefined) throw new UsageError('only the platform keeps the history; leave out --daemon')
  const reporter = new Reporter(ctx, opts)
  const view = await withPlatform(ctx, opts, readPlatformView)
  const changes = view.accepted?.changes ?? []
  reporter.json({ version: newestVersion(view), changes: changes.toReversed() })
  reporter.table('history', historyRows(changes))
  if (changes.length === 0) reporter.print('No configuration is accepted yet.')
}
