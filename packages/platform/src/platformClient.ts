import type { z } from 'zod'

/** Object stored on the platform; its revision changes with every write. */
export interface StoredObject {
  key: string
  value: Uint8Array
  revision: number
}

/** Client of the platform's object API. Every write is conditional on the revision read before it. */
export interface PlatformClient {
  get (key: string): Promise<StoredObject | undefined>
  /** Writes the object if it has this revision (0: does not exist); returns the new revision, or throws PlatformConflict. */
  put (key: string, value: Uint8Array, opts: { ifRevision: number }): Promise<number>
  remove (key: string, opts: { ifRevision: number }): Promise<void>
  list (prefix: string): Promise<StoredObject[]>
  /** Long poll for a revision other than the given one; undefined if none appears within the time limit. */
  watch (key: string, afterRevision: number, signal: AbortSignal): Promise<StoredObject | undefined>
}

/** Decodes a stored JSON value; undefined if it does not match the schema. */
export function decodeJson<S extends z.ZodType> (schema: S, value: Uint8Array): z.output<S> | undefined {
  try {
    return schema.safeParse(JSON.parse(new TextDecoder().decode(value))).data
  } catch {
    return undefined
  }
}

export function encodeJson (value: unknown): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(value))
}
