import type { CommandContext, CommonOptions } from '../context.js'
import { UsageError } from '../errors.js'
import { apply, type ApplyOptions } from './apply.js'
import { check } from './check.js'
import { completionScript } from './completion.js'
import { explain } from './explain.js'
import { explainRequest } from './explainRequest.js'
import { explainRoute, type ExplainRouteOptions } from './explainRoute.js'
import { controlMove, isMoveAction, MOVE_ACTIONS } from './controlMove.js'
import { history, listMoves, refusals, status } from './reports.js'
import { timeline, type TimelineOptions } from './timeline.js'

export interface OptionSpec {
  /** In the syntax of cac, such as `--timeout <duration>`. */
  flags: string
  description: string
}

export interface CommandSpec {
  /** In the syntax of cac, such as `apply <file>`. */
  usage: string
  description: string
  options?: readonly OptionSpec[]
  examples: readonly string[]
  /** Values that shell completion offers for the first argument. */
  argumentValues?: readonly string[]
  run (ctx: CommandContext, args: readonly string[], opts: CommonOptions): Promise<void> | void
}

/** Options of every command. */
export const COMMON_OPTIONS: readonly OptionSpec[] = [
  { flags: '--platform <url>', description: 'Address of the platform\'s object API' },
  { flags: '--daemon <address>', description: 'Read the admin side of this daemon instead of the platform' },
  { flags: '--json', description: 'Print JSON' },
  { flags: '--csv', description: 'Print tables as CSV' },
  { flags: '--layout <file>', description: 'Layout file of the tables' }
]

/** All commands of the command line; the parser, the help and shell completion are built from this table. */
export const COMMANDS: readonly CommandSpec[] = [
  {
    usage: 'check <file>',
    description: 'Check a configuration without a platform',
    examples: ['check mesh.yaml', 'check - < mesh.yaml'],
    run: (ctx, [file], opts) => check(ctx, file!, opts)
  },
  {
    usage: 'apply <file>',
    description: 'Have a configuration accepted and wait until it is in force everywhere',
    options: [
      { flags: '--base <version>', description: 'Version that the file was written against; keeps later changes to other objects' },
      { flags: '--no-wait', description: 'End when the change is accepted' },
      { flags: '--timeout <duration>', description: 'Longest wait, 60s if not given' },
      { flags: '--change-id <id>', description: 'Repeat an apply whose outcome is unknown' }
    ],
    examples: ['apply mesh.yaml', 'apply mesh.yaml --base 41 --timeout 2m'],
    run: (ctx, [file], opts) => apply(ctx, file!, opts as ApplyOptions)
  },
  {
    usage: 'status',
    description: 'What is in force, what was refused and how far moves are',
    options: [{ flags: '--debug', description: 'Add the proxy state of the daemon given by --daemon' }],
    examples: ['status', 'status --daemon 127.0.0.1:8081'],
    run: async (ctx, _args, opts) => await status(ctx, opts)
  },
  {
    usage: 'moves [action] [id]',
    description: 'List moves, or pause, resume, take-back or finish one',
    examples: ['moves', 'moves pause ordersV2', 'moves take-back ordersV2 --daemon 127.0.0.1:8081'],
    argumentValues: Object.keys(MOVE_ACTIONS),
    run: async (ctx, args, opts) => await moves(ctx, args, opts)
  },
  {
    usage: 'history',
    description: 'Accepted changes, newest first',
    examples: ['history', 'history --csv'],
    run: async (ctx, _args, opts) => await history(ctx, opts)
  },
  {
    usage: 'refusals',
    description: 'Versions that daemons refused, and why',
    examples: ['refusals', 'refusals --daemon 127.0.0.1:8081'],
    run: async (ctx, _args, opts) => await refusals(ctx, opts)
  },
  {
    usage: 'timeline',
    description: 'Events of the fleet in order',
    options: [
      { flags: '--service <name>', description: 'Only events of this service and what they caused' },
      { flags: '--move <id>', description: 'Only events of this move and what they caused' },
      { flags: '--config-version <version>', description: 'Only events of this configuration version' },
      { flags: '--since <time>', description: 'Start: a time, or a duration before now' },
      { flags: '--until <time>', description: 'End: a time, or a duration before now' },
      { flags: '--html <file>', description: 'Write one page with a plot' }
    ],
    examples: ['timeline --since 10m', 'timeline --daemon 127.0.0.1:8081 --move ordersV2 --html move.html'],
    run: async (ctx, _args, opts) => await timeline(ctx, opts as TimelineOptions)
  },
  {
    usage: 'explain <route>',
    description: 'Where a call would go, and why',
    examples: ['explain placeOrder', 'explain placeOrder --daemon 127.0.0.1:8081'],
    run: async (ctx, [route], opts) => await explain(ctx, route!, opts)
  },
  {
    usage: 'explain-route <host> <path>',
    description: 'Where a daemon with a target would send a request now, and why; sends nothing',
    options: [
      { flags: '--method <method>', description: 'Method of the request, GET if not given' },
      { flags: '--workspace <name>', description: 'Workspace of the caller; none if not given' }
    ],
    examples: ['explain-route shop.example /orders/1 --daemon 10.1.0.42:7701', 'explain-route shop.example /orders/1 --workspace hotel --daemon 10.1.0.42:7701 --json'],
    run: async (ctx, [host, path], opts) => await explainRoute(ctx, host!, path!, opts as ExplainRouteOptions)
  },
  {
    usage: 'explain-request <id> [...files]',
    description: 'The way of one request and the cause of its end, from log lines of daemons',
    examples: ['explain-request 9c41d07be2a35f68 otaru-1.log otaru-2.log', 'explain-request 9c41d07be2a35f68 --json < all.log'],
    run: (ctx, [id, ...files], opts) => explainRequest(ctx, id!, files.length > 0 ? files : ['-'], opts)
  },
  {
    usage: 'completion <shell>',
    description: 'Print a completion script for bash or zsh',
    examples: ['completion bash > /etc/bash_completion.d/lentilwheel', 'completion zsh > ~/.zsh/_lentilwheel'],
    argumentValues: ['bash', 'zsh'],
    run: (ctx, [shell]) => ctx.screen.printRaw(completionScript(shell!, COMMANDS, COMMON_OPTIONS))
  }
]

async function moves (ctx: CommandContext, args: readonly string[], opts: CommonOptions): Promise<void> {
  const [action, id] = args
  if (action === undefined) return await listMoves(ctx, opts)
  if (!isMoveAction(action)) {
    throw new UsageError(`"${action}" is not an action; there are ${Object.keys(MOVE_ACTIONS).join(', ')}`)
  }
  if (id === undefined) throw new UsageError(`moves ${action} needs the id of a move`)
  await controlMove(ctx, action, id, opts)
}
