import { formatDuration, splitKey, type Change, type Move } from '@lentilwheel/config'

/** Warnings for moves that a change starts or alters and that cannot end by their deadline. */
export function deadlineWarnings (change: Pick<Change, 'put'>, now: number): string[] {
  return change.put.flatMap((object) => {
    const { kind, name } = splitKey(object.key)
    if (kind !== 'move') return []
    const move = JSON.parse(object.text) as Move
    const left = Date.parse(move.by) - now
    if (left <= 0) return [`Move "${name}": its deadline ${move.by} has passed, so it will end late.`]
    if (left < move.hold) {
      return [`Move "${name}": its deadline ${move.by} is in ${formatDuration(Math.ceil(left / 1000) * 1000)}, but it is ` +
        `to be watched for ${formatDuration(move.hold)} at 100%, so it will end late.`]
    }
    return []
  })
}
