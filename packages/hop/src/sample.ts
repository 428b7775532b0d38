import type { Random } from '@lentilwheel/core'

/** Up to `count` entries of a list, chosen at random. */
export function sample<T> (list: readonly T[], count: number, random: Random): T[] {
  const rest = [...list]
  const chosen: T[] = []
  while (chosen.length < count && rest.length > 0) chosen.push(...rest.splice(random.int(rest.length), 1))
  return chosen
}
