/** Whether two lists hold the same objects in the same order. */
export function sameItems<T> (a: readonly T[], b: readonly T[]): boolean {
  return a.length === b.length && a.every((item, i) => item === b[i])
}
