import {
  ChangeConflict, fromObjects, makeObject, suggestion, type Change, type Head, type Move
} from '@lentilwheel/config'
import { loadObjects, readHead, type PlatformClient } from '@lentilwheel/platform'
import { submitChange } from '../apply/submitChange.js'
import { readPlatformView } from '../account/readPlatformView.js'
import { movesOf, type MoveView } from '../account/fleetView.js'
import { daemonFromOptions, withPlatform, type CommandContext, type CommonOptions } from '../context.js'
import { MoveControlRefused, MoveEnded, MoveNotFound, UsageError } from '../errors.js'
import { Reporter } from '../output/reporter.js'
import { formatTime } from '../output/text.js'

/** Actions of `lentilwheel moves`, each with the value of `control` that it sets. */
export const MOVE_ACTIONS = { pause: 'paused', resume: 'run', 'take-back': 'takeBack', finish: 'finish' } as const
export type MoveAction = keyof typeof MOVE_ACTIONS

export function isMoveAction (text: string): text is MoveAction {
  return Object.hasOwn(MOVE_ACTIONS, text)
}

const OUTCOME_TEXTS = { done: 'done', takenBack: 'taken back', late: 'late' } as const

/** False if the move already has the requested control; throws if the move can no longer take it. */
export function needsChange (move: MoveView, action: MoveAction): boolean {
  if (move.outcome) {
    const when = move.at === undefined ? '' : ` at ${formatTime(move.at)}`
    const reason = move.reason === undefined ? '' : `: ${move.reason}`
    throw new MoveEnded(`move ${move.id} had already ended${when} as ${OUTCOME_TEXTS[move.outcome]}${reason}`)
  }
  if (move.control === MOVE_ACTIONS[action]) return false
  if (move.control === 'takeBack') {
    throw new MoveControlRefused(`move ${move.id} is being taken back, which is permanent; it cannot ${action}`)
  }
  return true
}

/** Changes the control of a move in the configuration on the platform; a rollback can also be requested from a daemon. */
export async function controlMove (
  ctx: CommandContext, action: MoveAction, id: string, opts: CommonOptions
): Promise<void> {
  const reporter = new Reporter(ctx, opts)
  if (opts.daemon !== undefined) {
    await takeBackThroughDaemon(ctx, reporter, action, id, opts)
    return
  }
  await withPlatform(ctx, opts, async (client) => {
    const version = await changeControl(ctx, client, action, id)
    reporter.json({ move: id, action, changed: version !== undefined, ...(version !== undefined && { version }) })
    reporter.print(version === undefined
      ? `Move ${id} already has what ${action} asks for; nothing was changed.`
      : `Move ${id}: ${action} accepted as version ${version}.`)
  })
}

async function changeControl (
  ctx: CommandContext, client: PlatformClient, action: MoveAction, id: string
): Promise<number | undefined> {
  const view = await readPlatformView(client)
  const moves = movesOf(view)
  const move = moves.find((candidate) => candidate.id === id)
  if (!move) throw new MoveNotFound(`there is no move "${id}"${suggestion(id, moves.map((known) => known.id))}`)
  if (!needsChange(move, action)) return undefined
  const base = await readHead(client)
  const declared = await loadDeclaredMove(client, base.head, id)
  // The change is conditional on this head, which may be newer than the one that the view was read from.
  if (!needsChange({ ...move, control: declared.control }, action)) return undefined
  const object = makeObject(`move/${id}`, { ...declared, control: MOVE_ACTIONS[action] })
  const info = { id: ctx.newId(), author: ctx.userName(), acceptedAt: ctx.timers.wallNow() }
  const change: Change = { ...info, put: [object], remove: [] }
  try {
    return await submitChange(client, { base, change }, ctx.timers, 'Repeating the command is safe')
  } catch (err) {
    if (!(err instanceof ChangeConflict)) throw err
    const { author, version } = err.conflicting
    throw new MoveControlRefused(`${author} changed move ${id} at the same time (version ${version}); nothing was ` +
      `changed by this ${action}`)
  }
}

async function loadDeclaredMove (client: PlatformClient, head: Head, id: string): Promise<Move> {
  const object = (await loadObjects(client, head)).get(`move/${id}`)
  if (!object) throw new MoveNotFound(`move "${id}" was removed from the configuration`)
  return fromObjects([object]).moves[id]!
}

async function takeBackThroughDaemon (
  ctx: CommandContext, reporter: Reporter, action: MoveAction, id: string, opts: CommonOptions
): Promise<void> {
  if (action !== 'take-back') {
    throw new UsageError(`${action} needs the platform; only take-back works through --daemon`)
  }
  const daemon = daemonFromOptions(ctx, opts)!
  const response = await daemon.takeBack(id)
  reporter.json(response)
  if (response.published) {
    reporter.print(`Move ${id}: daemon ${daemon.address} published its rollback; no daemon sends to the new version 2 s from now.`)
    return
  }
  const reason = response.reason === undefined ? '' : `: ${response.reason}`
  if (response.outcome) throw new MoveEnded(`move ${id} had already ended as ${OUTCOME_TEXTS[response.outcome]}${reason}`)
  throw new MoveNotFound(`daemon ${daemon.address} knows no move "${id}" in progress${reason}`)
}
