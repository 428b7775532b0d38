import type { Timers } from '@lentilwheel/core'

/** Time without a working link after which a peer counts as gone. */
const GONE_AFTER_MS = 60_000

/** What is known about peers besides their records: since when they are unreachable, and the configuration that they last said they have. */
export class PeerStates {
  readonly #timers: Pick<Timers, 'now'>
  /** When the link to a peer went down. */
  readonly #downSince = new Map<string, number>()
  readonly #configVersions = new Map<string, number>()

  constructor (timers: Pick<Timers, 'now'>) {
    this.#timers = timers
  }

  /** The peer is reachable, or has started anew and gets the time to be reached. */
  clearUnreachable (host: string): void {
    this.#downSince.delete(host)
  }

  setUnreachable (host: string): void {
    if (!this.#downSince.has(host)) this.#downSince.set(host, this.#timers.now())
  }

  /** Hosts whose daemons have been unreachable for so long that they count as gone. */
  goneHosts (): string[] {
    const now = this.#timers.now()
    return [...this.#downSince].filter(([, since]) => now - since > GONE_AFTER_MS).map(([host]) => host)
  }

  /** Active configuration version of a daemon according to its last message; 0 if unknown or none. */
  configVersionOf (host: string): number {
    return this.#configVersions.get(host) ?? 0
  }

  setConfigVersion (host: string, version: number): void {
    this.#configVersions.set(host, version)
  }

  /** Forgets what the daemon of a host said; a later start doesn't hold to it. */
  forgetMessages (host: string): void {
    this.#configVersions.delete(host)
  }

  remove (host: string): void {
    this.#downSince.delete(host)
    this.#configVersions.delete(host)
  }
}
