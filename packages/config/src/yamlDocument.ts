import { isMap, isPair, isScalar, visit, type Document, type LineCounter } from 'yaml'

/** A key that a map holds more than once. */
export interface DuplicateKey {
  key: string
  /** Place of the second one in the text. */
  offset: number
}

/** Keys that occur more than once in one map; the second value would replace the first without a word. */
export function duplicateKeys (doc: Document): DuplicateKey[] {
  const found: DuplicateKey[] = []
  visit(doc, {
    Map (_key, map) {
      const seen = new Set<string>()
      for (const item of map.items) {
        if (!isPair(item) || !isScalar(item.key)) continue
        const key = String(item.key.value)
        if (seen.has(key)) found.push({ key, offset: item.key.range?.[0] ?? 0 })
        seen.add(key)
      }
    }
  })
  return found
}

/** Line of the deepest part of the path that stands in the file. */
export function lineOfPath (doc: Document, lines: LineCounter, path: readonly PropertyKey[]): number {
  let node: unknown = doc.contents
  let offset = 0
  for (const key of path) {
    if (!isMap(node)) break
    const pair = node.items.find((item) => isScalar(item.key) && String(item.key.value) === String(key))
    if (!pair) break
    if (isScalar(pair.key) && pair.key.range) offset = pair.key.range[0]
    node = pair.value
  }
  return lines.linePos(offset).line
}
