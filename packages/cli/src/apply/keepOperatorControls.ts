import { fromObjects, type Config, type Head, type Move, type ParsedFile } from '@lentilwheel/config'
import { loadObjects, type PlatformClient } from '@lentilwheel/platform'
import { MoveControlRefused } from '../errors.js'

/**
 * Takes over the `control` that operators set by `lentilwheel moves` for each move whose control the file leaves out.
 * Otherwise applying a file would resume a paused move or undo a rollback as a side effect.
 */
export async function keepOperatorControls (client: PlatformClient, head: Head, parsed: ParsedFile): Promise<Config> {
  const { config, movesWithControl: controlledMoves } = parsed
  const hasStoredMove = Object.keys(config.moves).some((id) => head.objects[`move/${id}`] !== undefined)
  if (!hasStoredMove) return config
  const objects = await loadObjects(client, head)
  const stored = fromObjects([...objects.values()].filter(({ key }) => key.startsWith('move/'))).moves
  const moves = Object.entries(config.moves).map(([id, move]): [string, Move] =>
    [id, resolveControl(id, move, stored[id], controlledMoves.has(id))])
  return { ...config, moves: Object.fromEntries(moves) }
}

function resolveControl (id: string, move: Move, stored: Move | undefined, isControlInFile: boolean): Move {
  const isSameMove = stored?.service === move.service && stored.from === move.from && stored.to === move.to
  if (!isSameMove) return move
  if (!isControlInFile) return { ...move, control: stored.control }
  if (stored.control === 'takeBack' && move.control !== 'takeBack') {
    throw new MoveControlRefused(`move ${id} was taken back by an operator, which is permanent, but the file says ` +
      `"control: ${move.control}"; remove the move from the file`)
  }
  return move
}
