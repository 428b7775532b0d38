/** Object kept by the platform stand-in. */
export interface StandInObject {
  value: Uint8Array
  revision: number
}

export type StandInListener = (key: string, object: StandInObject) => void

/** State of the platform stand-in: objects with revisions, conditional writes and change listeners. */
export class PlatformStore {
  readonly #objects = new Map<string, StandInObject>()
  readonly #listeners = new Set<StandInListener>()
  #revision = 0

  get (key: string): StandInObject | undefined {
    return this.#objects.get(key)
  }

  /** Returns the new revision, or undefined when the condition does not hold. */
  put (key: string, value: Uint8Array, ifRevision: number): number | undefined {
    if ((this.#objects.get(key)?.revision ?? 0) !== ifRevision) return undefined
    const object = { value, revision: ++this.#revision }
    this.#objects.set(key, object)
    for (const listener of this.#listeners) listener(key, object)
    return object.revision
  }

  remove (key: string, ifRevision: number): boolean {
    if ((this.#objects.get(key)?.revision ?? 0) !== ifRevision) return false
    return this.#objects.delete(key)
  }

  list (prefix: string): [string, StandInObject][] {
    return [...this.#objects].filter(([key]) => key.startsWith(prefix)).sort(([a], [b]) => (a < b ? -1 : 1))
  }

  listen (listener: StandInListener): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  /** Puts an older state back, as an operator who restores a backup would. */
  restore (key: string, value: Uint8Array): void {
    this.#objects.set(key, { value, revision: ++this.#revision })
  }
}
