import { isMap, isPair, isScalar, visit, type Document, type LineCounter } from 'yaml'

/** A key that occurs more than once in a map. */
export interface DuplicateKey {
  key: string
  /** Offset of the repeated key in the text. */
  offset: number
}

/** Finds keys that occur more than once in a map; without this check the later value would silently replace the earlier. */
export function duplicateKeys (doc: Document): DuplicateKey[] {
  const duplicates: DuplicateKey[] = []
  visit(doc, {
    Map (_key, map) {
      const seen = new Set<string>()
      for (const item of map.items) {
        if (!isPair(item) || !isScalar(item.key)) continue
        const key = String(item.key.value)
        if (seen.has(key)) duplicates.push({ key, offset: item.key.range?.[0] ?? 0 })
        seen.add(key)
      }
    }
  })
  return duplicates
}

/** Line of the deepest key of the path that exists in the file. */
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
