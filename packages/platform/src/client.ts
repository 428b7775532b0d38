import type { z } from 'zod'

/** A value kept by the platform; the revision changes with every write. */
export interface StoredObject {
  key: string
  value: Uint8Array
  revision: number
}

/** Client of the platform's object API. Every write is conditional on the revision read before it. */
export interface PlatformClient {
  get (key: string): Promise<StoredObject | undefined>
  /** Writes if the object has this revision (0: does not exist) and returns the new one. */
  put (key: string, value: Uint8Array, opts: { ifRevision: number }): Promise<number>
  remove (key: string, opts: { ifRevision: number }): Promise<void>
  list (prefix: string): Promise<StoredObject[]>
  /** Waits for a revision after the given one; undefined when the wait reaches its time limit. */
  watch (key: string, afterRevision: number, signal: AbortSignal): Promise<StoredObject | undefined>
}

/** Reads a stored JSON value; undefined when it is not what the schema describes. */
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
