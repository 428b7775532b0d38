/** Highest configuration version known to be held by any daemon. It only rises; no daemon starts to serve below it. */
export class VersionFloor {
  #value = 0

  get value (): number {
    return this.#value
  }

  raise (version: number): void {
    if (version > this.#value) this.#value = version
  }
}
