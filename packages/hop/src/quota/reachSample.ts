import type { Cancel, Random, Timers } from '@lentilwheel/core'
import { sample } from '../sample.js'

export interface ReachSampleOptions {
  timers: Pick<Timers, 'now' | 'after'>
  random: Random
  /** Asks a peer which of the hosts it can reach; `done` gets undefined if there is no reply. */
  askReach (peer: string, hosts: readonly string[], done: (reached: readonly boolean[] | undefined) => void): void
}

/** Peers asked at a time; few are enough, as a quota may be passed by a tenth. */
const SAMPLE_SIZE = 16
/** Interval of asking while peers differ, and while all agree that they reach none of the hosts. */
const PROBE_INTERVAL_MS = 250
const AGREED_INTERVAL_MS = 1_500
/** Delay of the first round, in which peers notice that a host is lost. */
const FIRST_PROBE_MS = 150
/** Hosts named in one question. */
export const MAX_REACH_HOSTS = 256

/**
 * Estimates how many peers can reach daemons that this one can't. A daemon that only some of the others lost goes on to lend
 * to the rest, so its successor may lend only the part of the quota that is due to those that lost it.
 */
export class ReachSample {
  readonly #opts: ReachSampleOptions
  /** Hosts of which the part has been asked since the last round. */
  #wanted = new Set<string>()
  /** Hosts that the last round asked about. */
  #asked: ReadonlySet<string> = new Set()
  /** For each peer that answered in the last round, the hosts that it reaches. */
  #answers: ReadonlySet<string>[] = []
  #peers: readonly string[] = []
  #cancelRound: Cancel | undefined
  /** Whether the next round comes soon, for hosts that no round has asked about. */
  #isFirstRoundDue = false

  constructor (opts: ReachSampleOptions) {
    this.#opts = opts
  }

  setPeers (peers: readonly string[]): void {
    this.#peers = peers
  }

  /** Estimated part of the reachable daemons, this one included, that reach none of the hosts; the least possible until peers have been asked. */
  partWithout (hosts: readonly string[]): number {
    if (hosts.length === 0) return 1
    for (const host of hosts) if (this.#wanted.size < MAX_REACH_HOSTS) this.#wanted.add(host)
    if (this.#peers.length === 0) return 1
    if (!hosts.every((host) => this.#asked.has(host))) {
      this.#onNewHosts()
      return 1 / (1 + Math.min(SAMPLE_SIZE, this.#peers.length))
    }
    if (!this.#cancelRound) this.#schedule(FIRST_PROBE_MS)
    const size = Math.max(this.#answers.length, 1)
    const without = this.#answers.filter((reached) => !hosts.some((host) => reached.has(host))).length
    return (1 + without) / (1 + size)
  }

  /** Asks about hosts that no round has asked about yet, without waiting for the next one. */
  #onNewHosts (): void {
    if (this.#isFirstRoundDue) return
    this.#isFirstRoundDue = true
    this.#schedule(FIRST_PROBE_MS)
  }

  #schedule (ms: number): void {
    this.#cancelRound?.()
    this.#cancelRound = this.#opts.timers.after(ms, () => this.#probe())
  }

  #probe (): void {
    const hosts = [...this.#wanted]
    this.#wanted.clear()
    this.#asked = new Set(hosts)
    this.#isFirstRoundDue = false
    this.#cancelRound = undefined
    if (hosts.length === 0) {
      this.#answers = []
      return
    }
    const answers: ReadonlySet<string>[] = []
    for (const peer of sample(this.#peers, SAMPLE_SIZE, this.#opts.random)) {
      this.#opts.askReach(peer, hosts, (reached) => {
        if (reached) answers.push(new Set(hosts.filter((_, i) => reached[i])))
        this.#answers = answers
      })
    }
    const isAgreed = this.#answers.length > 0 && this.#answers.every((reached) => reached.size === 0)
    this.#schedule(isAgreed ? AGREED_INTERVAL_MS : PROBE_INTERVAL_MS)
  }
}
