import { rendezvousScore } from '@lentilwheel/core'

export interface LenderRankingOptions {
  /** Host of this daemon. */
  own: string
  /** Monotonic milliseconds at the start of this daemon. */
  startedAt: number
}

/** The first daemon in the ranking of one workspace. */
interface RankedFirst {
  host: string
  score: number
  /** For the own daemon: time from which it lends; the predecessor's credits have expired by then. */
  lendsFrom: number
}

/** Time that a daemon waits after it became first: longer than credits live and than views of the fleet differ after a loss. */
const SETTLE_MS = 400
/** Time after its start in which a daemon may not know its peers. */
const WARM_UP_MS = 1_000
/** Time after which a daemon without peers lends nevertheless; it may be the only one. */
const ALONE_MS = 3_000
/** Time for which removed candidates are remembered; any bucket of usual size has refilled by then. */
const REMOVAL_MEMORY_MS = 30_000

/**
 * Chooses the lender of each workspace by rendezvous hashing over the live daemons that aren't stopping, and tells since
 * when the own daemon has been it. Results are cached by workspace; a change of the candidates updates the cache.
 */
export class LenderRanking {
  readonly #own: string
  readonly #startedAt: number
  readonly #cache = new Map<string, RankedFirst>()
  /** Candidates that are gone, the latest last. */
  #removals: { host: string, at: number }[] = []
  #candidates: ReadonlySet<string>
  /** Time from which the own daemon has been able to lend at all. */
  #readyAt: number
  /** Part of the daemons believed to run that this one can reach, itself included. */
  reachableShare = 1

  constructor ({ own, startedAt }: LenderRankingOptions) {
    this.#own = own
    this.#startedAt = startedAt
    this.#candidates = new Set([own])
    this.#readyAt = startedAt + ALONE_MS
  }

  /** Replaces the live daemons that aren't stopping; tells whether any came or went. */
  setCandidates (hosts: readonly string[], now: number): boolean {
    const before = this.#candidates
    const next = new Set(hosts)
    const added = hosts.filter((host) => !before.has(host))
    const removed = [...before].filter((host) => !next.has(host))
    if (added.length === 0 && removed.length === 0) return false
    this.#candidates = next
    this.#removals = this.#removals.filter(({ at }) => now - at < REMOVAL_MEMORY_MS)
    for (const host of removed) this.#removals.push({ host, at: now })
    const hasFoundPeer = added.some((host) => host !== this.#own)
    if (hasFoundPeer) this.#readyAt = Math.min(this.#readyAt, Math.max(now + SETTLE_MS, this.#startedAt + WARM_UP_MS))
    const gone = new Set(removed)
    for (const [workspace, first] of this.#cache) {
      if (gone.has(first.host)) this.#cache.delete(workspace)
      else this.#cache.set(workspace, this.#best(workspace, added, first, now))
    }
    return true
  }

  /** Makes the own daemon wait again before it lends, as it has been suspended and others may lend in its place. */
  restart (now: number): void {
    this.#readyAt = now + SETTLE_MS
  }

  /** Host of the lender. */
  first (workspace: string, now: number): string {
    return this.#firstOf(workspace, now).host
  }

  /** Time from which this daemon lends for the workspace; undefined if it isn't the lender. */
  lendsFrom (workspace: string, now: number): number | undefined {
    const { host, lendsFrom } = this.#firstOf(workspace, now)
    return host === this.#own ? Math.max(lendsFrom, this.#readyAt) : undefined
  }

  /** Drops what is cached for other workspaces than those in use. */
  retain (isInUse: (workspace: string) => boolean): void {
    for (const workspace of this.#cache.keys()) if (!isInUse(workspace)) this.#cache.delete(workspace)
  }

  #firstOf (workspace: string, now: number): RankedFirst {
    let first = this.#cache.get(workspace)
    if (!first) {
      first = this.#best(workspace, this.#candidates, undefined, now)
      this.#cache.set(workspace, first)
    }
    return first
  }

  /** The highest of the given candidates and of the one that was first so far. */
  #best (workspace: string, candidates: Iterable<string>, soFar: RankedFirst | undefined, now: number): RankedFirst {
    let best = soFar
    for (const host of candidates) {
      const score = rendezvousScore(host, workspace)
      if (!best || isBefore({ host, score }, best)) best = { host, score, lendsFrom: 0 }
    }
    if (!best) return { host: this.#own, score: 0, lendsFrom: -Infinity }
    return best === soFar || best.host !== this.#own ? best : { ...best, lendsFrom: this.#lastRemovalBefore(best, workspace, now) + SETTLE_MS }
  }

  /** When the last daemon that ranked before the own one went; -Infinity if none did lately. */
  #lastRemovalBefore (own: RankedFirst, workspace: string, now: number): number {
    for (let i = this.#removals.length - 1; i >= 0; i--) {
      const { host, at } = this.#removals[i]!
      if (now - at >= REMOVAL_MEMORY_MS) break
      if (isBefore({ host, score: rendezvousScore(host, workspace) }, own)) return at
    }
    return -Infinity
  }
}

function isBefore (a: Pick<RankedFirst, 'host' | 'score'>, b: Pick<RankedFirst, 'host' | 'score'>): boolean {
  return a.score !== b.score ? a.score > b.score : a.host > b.host
}
