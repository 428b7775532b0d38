import { fromObjects, type Config, type Head, type Move, type ParsedFile } from '@lentilwheel/config'
import { loadObjects, type PlatformClient } from '@lentilwheel/platform'
import { MoveControlRefused } from '../errors.js'

/**
 * The configuration with the control that operators gave to moves by `lentilwheel moves`, where the file states none.
 * Without this, applying a file would resume a paused move or undo a take-back as a side effect.
 */
export async function keepHeldControls (client: PlatformClient, head: Head, parsed: ParsedFile): Promise<Config> {
  const { config, controlledMoves } = parsed
  const isHeld = Object.keys(config.moves).some((id) => head.objects[`move/${id}`] !== undefined)
  if (!isHeld) return config
  const objects = await loadObjects(client, head)
  const held = fromObjects([...objects.values()].filter(({ key }) => key.startsWith('move/'))).moves
  const moves = Object.entries(config.moves).map(([id, move]): [string, Move] =>
    [id, heldControl(id, move, held[id], controlledMoves.has(id))])
  return { ...config, moves: Object.fromEntries(moves) }
}

function heldControl (id: string, move: Move, held: Move | undefined, isStated: boolean): Move {
  const isSame = held?.service === move.service && held.from === move.from && held.to === move.to
  if (!isSame) return move
  if (!isStated) return { ...move, control: held.control }
  if (held.control === 'takeBack' && move.control !== 'takeBack') {
    throw new MoveControlRefused(`move ${id} was taken back by an operator, which is permanent, but the file says ` +
      `"control: ${move.control}"; remove the move from the file`)
  }
  return move
}
