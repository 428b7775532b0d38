import { rendezvousScore } from '@lentilwheel/core'

export interface LenderRankingOptions {
  /** Host of this daemon. */
  own: string
  /** Monotonic milliseconds at the start of this daemon. */
  startedAt: number
}

/** When a daemon begins to lend for a workspace. */
export interface LendingStart {
  /** Time from which it lends. */
  readonly lendsFrom: number
  /** Time from which its bucket fills: earlier, if nobody has lent since. */
  readonly fillsFrom: number
}

interface Ranked {
  host: string
  score: number
}

/** The first daemon in the ranking of one workspace; `start` counts if it is the own one. */
interface RankedFirst extends Ranked {
  start: LendingStart
}

/** A candidate that is gone. */
interface Removal {
  readonly host: string
  readonly at: number
  /** Whether it can still be reached: it stops, and goes on to lend until its successor does. */
  readonly isReachable: boolean
}

/** Time that a daemon waits after it became first, in which the daemons come to agree on who is live. */
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
  #removals: Removal[] = []
  #candidates: ReadonlySet<string>
  /** When the own daemon begins to lend at all. */
  #ownStart: LendingStart
  /** Daemons that are believed to run and can't be reached. */
  #unreachable: readonly string[] = []
  /** Unreachable daemons that rank before the own one, by workspace. */
  readonly #blockers = new Map<string, readonly string[]>()

  constructor ({ own, startedAt }: LenderRankingOptions) {
    this.#own = own
    this.#startedAt = startedAt
    this.#candidates = new Set([own])
    this.#ownStart = startAt(startedAt + ALONE_MS)
  }

  /** Replaces the live daemons that aren't stopping; tells whether any came or went. */
  setCandidates (hosts: readonly string[], now: number, isReachable: (host: string) => boolean): boolean {
    const before = this.#candidates
    const next = new Set(hosts)
    const added = hosts.filter((host) => !before.has(host))
    const removed = [...before].filter((host) => !next.has(host))
    if (added.length === 0 && removed.length === 0) return false
    this.#candidates = next
    this.#removals = this.#removals.filter(({ at }) => now - at < REMOVAL_MEMORY_MS)
    for (const host of removed) this.#removals.push({ host, at: now, isReachable: isReachable(host) })
    const hasFoundPeer = added.some((host) => host !== this.#own)
    const readyAt = Math.max(now + SETTLE_MS, this.#startedAt + WARM_UP_MS)
    if (hasFoundPeer && readyAt < this.#ownStart.lendsFrom) this.#ownStart = startAt(readyAt)
    const gone = new Set(removed)
    for (const [workspace, first] of this.#cache) {
      if (gone.has(first.host)) this.#cache.delete(workspace)
      else this.#cache.set(workspace, this.#best(workspace, added, first, now))
    }
    return true
  }

  setUnreachable (hosts: readonly string[]): void {
    this.#unreachable = hosts
    this.#blockers.clear()
  }

  /** Daemons that rank before the own one and can't be reached from here, but may still lend to others. */
  blockersOf (workspace: string): readonly string[] {
    if (this.#unreachable.length === 0) return this.#unreachable
    let blockers = this.#blockers.get(workspace)
    if (!blockers) {
      const own: Ranked = { host: this.#own, score: rendezvousScore(this.#own, workspace) }
      blockers = this.#unreachable.filter((host) => isBefore({ host, score: rendezvousScore(host, workspace) }, own))
      this.#blockers.set(workspace, blockers)
    }
    return blockers
  }

  /** Makes the own daemon wait again before it lends, as it has been suspended and others may lend in its place. */
  restart (now: number): void {
    this.#ownStart = startAt(now + SETTLE_MS)
  }

  /** Host of the lender. */
  first (workspace: string, now: number): string {
    return this.#firstOf(workspace, now).host
  }

  /** When this daemon begins or began to lend for the workspace; undefined if it isn't the lender. */
  startOf (workspace: string, now: number): LendingStart | undefined {
    const { host, start } = this.#firstOf(workspace, now)
    if (host !== this.#own) return undefined
    return start.lendsFrom > this.#ownStart.lendsFrom ? start : this.#ownStart
  }

  /** Drops what is cached for other workspaces than those in use. */
  retain (isInUse: (workspace: string) => boolean): void {
    for (const workspace of this.#cache.keys()) if (!isInUse(workspace)) this.#cache.delete(workspace)
    for (const workspace of this.#blockers.keys()) if (!isInUse(workspace)) this.#blockers.delete(workspace)
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
      if (!best || isBefore({ host, score }, best)) best = { host, score, start: LONG_AGO }
    }
    if (!best) return { host: this.#own, score: 0, start: LONG_AGO }
    return best === soFar || best.host !== this.#own ? best : { ...best, start: this.#startAfterRemovals(best, workspace, now) }
  }

  /** The start after the last daemon went that ranked before the own one. */
  #startAfterRemovals (own: Ranked, workspace: string, now: number): LendingStart {
    const last = this.#removals.findLast(({ host, at }) => now - at < REMOVAL_MEMORY_MS && isBefore({ host, score: rendezvousScore(host, workspace) }, own))
    if (!last) return LONG_AGO
    const lendsFrom = last.at + SETTLE_MS
    return { lendsFrom, fillsFrom: last.isReachable ? lendsFrom : last.at }
  }
}

const LONG_AGO: LendingStart = { lendsFrom: -Infinity, fillsFrom: -Infinity }

function startAt (lendsFrom: number): LendingStart {
  return { lendsFrom, fillsFrom: lendsFrom }
}

function isBefore (a: Ranked, b: Ranked): boolean {
  return a.score !== b.score ? a.score > b.score : a.host > b.host
}
