/** Highest configuration version known to be held by anyone; only rises. */
export class VersionFloor {
  #value = 0

  get value (): number {
    return this.#value
  }

  raise (version: number): void {
    if (version > this.#value) this.#value = version
  }
}
