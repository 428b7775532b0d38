import type { Change, ConfigObject } from '@lentilwheel/config'

/** One configuration object that a change adds, changes or removes. */
export interface Difference {
  kind: 'added' | 'changed' | 'removed'
  key: string
  /** Fields that differ; empty unless the object is changed. */
  fields: { field: string, before: unknown, after: unknown }[]
}

/** Compares the objects of a change with the current ones, sorted by key. */
export function differencesOf (change: Change, current: ReadonlyMap<string, ConfigObject>): Difference[] {
  const put = change.put.map((object): Difference => {
    const before = current.get(object.key)
    if (!before) return { kind: 'added', key: object.key, fields: [] }
    return { kind: 'changed', key: object.key, fields: fieldDifferences(before, object) }
  })
  const removed = change.remove.map((key): Difference => ({ kind: 'removed', key, fields: [] }))
  return [...put, ...removed].sort((a, b) => (a.key < b.key ? -1 : 1))
}

function fieldDifferences (before: ConfigObject, after: ConfigObject): Difference['fields'] {
  const old = JSON.parse(before.text) as Record<string, unknown>
  const now = JSON.parse(after.text) as Record<string, unknown>
  const names = [...new Set([...Object.keys(old), ...Object.keys(now)])].sort()
  return names
    .filter((name) => JSON.stringify(old[name]) !== JSON.stringify(now[name]))
    .map((field) => ({ field, before: old[field], after: now[field] }))
}

const SIGNS = { added: '+', changed: '~', removed: '-' } as const

/** One line for each object, such as `~ service/orders`, followed by one for each field, such as `current: "v1" -> "v2"`. */
export function differenceLines (differences: readonly Difference[]): string[] {
  return differences.flatMap(({ kind, key, fields }) => {
    const heading = `${SIGNS[kind]} ${key}`
    return [heading, ...fields.map(({ field, before, after }) => `    ${field}: ${formatValue(before)} -> ${formatValue(after)}`)]
  })
}

function formatValue (value: unknown): string {
  return value === undefined ? 'unset' : JSON.stringify(value)
}
