import { createHash } from 'node:crypto'
import { match } from 'ts-pattern'
import { HashMismatch } from './errors.js'
import type { Config, Move, Route, Service } from './schema.js'

export const OBJECT_KINDS = ['service', 'route', 'move'] as const
export type ObjectKind = typeof OBJECT_KINDS[number]

/**
 * A service, route or move of a configuration in its canonical encoding. Changes, deltas and the store work on these
 * objects and identify their content by hash.
 */
export interface ConfigObject {
  /** `service/<name>`, `route/<name>` or `move/<id>`. */
  key: string
  hash: string
  /** JSON with sorted keys. */
  text: string
}

/** 128 of the 256 bits of SHA-256, in hex digits. */
const HASH_HEX_LENGTH = 32

export function hashText (text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('hex').slice(0, HASH_HEX_LENGTH)
}

/** JSON with keys in sorted order, so that equal values have equal text and hash. */
export function canonicalJson (value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => {
    if (inner === null || typeof inner !== 'object' || Array.isArray(inner)) return inner
    return Object.fromEntries(Object.entries(inner).sort(([a], [b]) => (a < b ? -1 : 1)))
  })
}

/** Encodes a service, route or move; the hash covers key and text. */
export function makeObject (key: string, value: Service | Route | Move): ConfigObject {
  const text = canonicalJson(value)
  return { key, text, hash: hashText(`${key}\n${text}`) }
}

/** Builds an object from received text; throws HashMismatch if key and text don't have the given hash. */
export function verifyObject (key: string, text: string, hash: string): ConfigObject {
  const actual = hashText(`${key}\n${text}`)
  if (actual !== hash) throw new HashMismatch(`object ${key} has hash ${actual} instead of ${hash}`)
  return { key, text, hash }
}

/** Encodes all objects of a configuration, by key. */
export function toObjects (cfg: Config): Map<string, ConfigObject> {
  const objects = new Map<string, ConfigObject>()
  const add = (kind: ObjectKind, entries: Record<string, Service | Route | Move>): void => {
    for (const [name, value] of Object.entries(entries)) {
      const object = makeObject(`${kind}/${name}`, value)
      objects.set(object.key, object)
    }
  }
  add('service', cfg.services)
  add('route', cfg.routes)
  add('move', cfg.moves)
  return objects
}

/** Rebuilds a configuration from its objects. */
export function fromObjects (objects: Iterable<ConfigObject>): Config {
  const cfg: Config = { services: {}, routes: {}, moves: {} }
  for (const object of objects) {
    const { kind, name } = splitKey(object.key)
    const value: unknown = JSON.parse(object.text)
    match(kind)
      .with('service', () => { cfg.services[name] = value as Service })
      .with('route', () => { cfg.routes[name] = value as Route })
      .with('move', () => { cfg.moves[name] = value as Move })
      .exhaustive()
  }
  return cfg
}

/** Splits an object key into kind and name; throws HashMismatch for an unknown kind. */
export function splitKey (key: string): { kind: ObjectKind, name: string } {
  const slash = key.indexOf('/')
  const kind = OBJECT_KINDS.find((known) => known === key.slice(0, slash))
  if (!kind) throw new HashMismatch(`object key "${key}" has no known kind`)
  return { kind, name: key.slice(slash + 1) }
}

/** Hash over the keys and hashes of all objects; identifies the content of a whole configuration. */
export function rootHash (objects: Iterable<{ key: string, hash: string }>): string {
  const lines = Array.from(objects, (object) => `${object.key} ${object.hash}`).sort()
  return hashText(lines.join('\n'))
}
