/** Requests kept; the ones that ran longest ago are forgotten first. */
const MAX_PROVEN = 4_096

/** Fingerprints of requests that targets of one version have run without crashing. */
export class ProvenRequests {
  readonly #fingerprints = new Set<string>()

  add (fingerprint: string): void {
    this.#fingerprints.delete(fingerprint)
    this.#fingerprints.add(fingerprint)
    if (this.#fingerprints.size <= MAX_PROVEN) return
    const [oldest] = this.#fingerprints
    this.#fingerprints.delete(oldest!)
  }

  has (fingerprint: string): boolean {
    return this.#fingerprints.has(fingerprint)
  }

  reset (): void {
    this.#fingerprints.clear()
  }
}
