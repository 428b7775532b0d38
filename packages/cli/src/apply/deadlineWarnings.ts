import { formatDuration, splitKey, type Change, type Move } from '@lentilwheel/config'

/** Warnings for the moves of a change that can't end by their deadline. */
export function deadlineWarnings (change: Pick<Change, 'put'>, now: number): string[] {
  return change.put.flatMap((object) => {
    const { kind, name } = splitKey(object.key)
    if (kind !== 'move') return []
    const move = JSON.parse(object.text) as Move
    const remainingMs = Date.parse(move.by) - now
    if (remainingMs <= 0) return [`Move "${name}": its deadline ${move.by} has passed, so it will end late.`]
    if (remainingMs < move.hold) {
      return [`Move "${name}": its deadline ${move.by} is in ${formatDuration(Math.ceil(remainingMs / 1000) * 1000)}, but it is ` +
        `to be watched for ${formatDuration(move.hold)} at 100%, so it will end late.`]
    }
    return []
  })
}
