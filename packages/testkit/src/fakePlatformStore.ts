/** Object in the store of the fake platform. */
export interface FakeObject {
  value: Uint8Array
  revision: number
}

export type FakeObjectListener = (key: string, object: FakeObject) => void

/** In-memory store of the fake platform: objects with revisions, conditional writes and change listeners. */
export class FakePlatformStore {
  readonly #objects = new Map<string, FakeObject>()
  readonly #listeners = new Set<FakeObjectListener>()
  #revision = 0

  get (key: string): FakeObject | undefined {
    return this.#objects.get(key)
  }

  /** Writes if the object has this revision (0: does not exist); returns the new revision, else undefined. */
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

  list (prefix: string): [string, FakeObject][] {
    return [...this.#objects].filter(([key]) => key.startsWith(prefix)).sort(([a], [b]) => (a < b ? -1 : 1))
  }

  listen (listener: FakeObjectListener): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  /** Overwrites an object without a condition and without telling listeners, as if a backup were restored. */
  restore (key: string, value: Uint8Array): void {
    this.#objects.set(key, { value, revision: ++this.#revision })
  }
}
