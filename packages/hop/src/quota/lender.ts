import { TokenBucket, type Random } from '@lentilwheel/core'
import type { QuotaAnswer, QuotaQuestion } from '../link/messages.js'
import type { LenderRanking } from './lenderRanking.js'

/** Requests per second of a workspace over all daemons, and how many beyond that may come at once. */
export interface QuotaLimit {
  readonly ratePerS: number
  readonly burst: number
}

export interface LenderOptions {
  random: Random
  ranking: LenderRanking
  /** Limit in the active configuration; undefined if it doesn't have the workspace. */
  limitOf (workspace: string): QuotaLimit | undefined
}

/** What this daemon keeps for a workspace that it lends for. */
interface LentQuota {
  readonly bucket: TokenBucket
  /** Time from which this daemon has lent; another one means that it was replaced in between. */
  readonly lendsFrom: number
  limit: QuotaLimit
  share: number
  /** Time to which the last asker that got nothing was deferred. */
  deferredTo: number
  askedAt: number
}

/** Tokens that a bucket starts with, so that a small workspace isn't refused its first request. */
const START_TOKENS = 2
/** Longest time that an asker is told to wait while tokens may be left unused. */
const MAX_DEFER_MS = 1_000
/** Part of the time in which a bucket fills that an asker may be told to wait; a longer wait would let tokens be lost. */
const DEFER_FILL_PART = 0.5
/** Time without a question after which a bucket is dropped. */
const IDLE_MS = 10_000

/** Holds the token buckets of the workspaces for which this daemon is first in the ranking, and lends credits from them. */
export class Lender {
  readonly #opts: LenderOptions
  readonly #quotas = new Map<string, LentQuota>()
  /** Workspaces for which lending began and ended since the last report. */
  readonly #changes = { began: 0, ended: 0 }
  /** Credits lent so far. */
  lent = 0

  constructor (opts: LenderOptions) {
    this.#opts = opts
  }

  /** Number of buckets. */
  get size (): number {
    return this.#quotas.size
  }

  answer (question: QuotaQuestion, now: number): QuotaAnswer {
    const { workspace, count } = question
    const lendsFrom = this.#opts.ranking.lendsFrom(workspace, now)
    if (lendsFrom === undefined) {
      this.#end(workspace)
      return { kind: 'notLender' }
    }
    if (now < lendsFrom) return { kind: 'settling', waitMs: lendsFrom - now }
    const quota = this.#quotaOf(question, lendsFrom, now)
    const lent = this.#take(quota, count, now)
    this.lent += lent
    return { kind: 'lent', count: lent, waitMs: lent < count ? this.#defer(quota, now) : 0 }
  }

  /** Drops buckets that nobody asks for, and those of workspaces that another daemon lends for now. */
  sweep (now: number): void {
    for (const [workspace, { askedAt }] of this.#quotas) {
      if (now - askedAt > IDLE_MS || this.#opts.ranking.lendsFrom(workspace, now) === undefined) this.#end(workspace)
    }
  }

  has (workspace: string): boolean {
    return this.#quotas.has(workspace)
  }

  /** Returns for how many workspaces lending began and ended since the last call; undefined for none. */
  takeChanges (): { began: number, ended: number } | undefined {
    const { began, ended } = this.#changes
    this.#changes.began = this.#changes.ended = 0
    return began + ended > 0 ? { began, ended } : undefined
  }

  #end (workspace: string): void {
    if (this.#quotas.delete(workspace)) this.#changes.ended++
  }

  /** The bucket with its limits as they are now. */
  #quotaOf (question: QuotaQuestion, lendsFrom: number, now: number): LentQuota {
    const limit = lowerLimit(this.#opts.limitOf(question.workspace), question)
    const share = this.#opts.ranking.reachableShare
    let quota = this.#quotas.get(question.workspace)
    if (!quota || quota.lendsFrom !== lendsFrom) {
      if (quota) this.#end(question.workspace)
      quota = createQuota(limit, share, lendsFrom, now)
      this.#quotas.set(question.workspace, quota)
      this.#changes.began++
    }
    quota.askedAt = now
    if (quota.share !== share || quota.limit.ratePerS !== limit.ratePerS || quota.limit.burst !== limit.burst) {
      quota.bucket.setLimits(now, limit.ratePerS * share, capacityOf(limit, share))
      quota.limit = limit
      quota.share = share
    }
    return quota
  }

  #take ({ bucket, limit, share }: LentQuota, count: number, now: number): number {
    if (capacityOf(limit, share) >= 1) return bucket.takeUpTo(now, count)
    // A bucket that can't hold a whole token would never lend. Rounding at random keeps the sum over all parts of a divided fleet.
    return this.#opts.random.next() < bucket.takeAll(now) ? 1 : 0
  }

  /** Milliseconds for which an asker should not ask again; those that got nothing are spread out, each to the time of another token. */
  #defer (quota: LentQuota, now: number): number {
    const { bucket, limit, share } = quota
    const perSecond = limit.ratePerS * share
    const fillMs = capacityOf(limit, share) / perSecond * 1000
    const longestMs = Math.min(MAX_DEFER_MS, fillMs * DEFER_FILL_PART)
    quota.deferredTo = Math.min(Math.max(quota.deferredTo, now) + 1000 / perSecond, now + longestMs)
    const tokenMs = Math.min(bucket.waitMs(now), fillMs)
    return Math.ceil(Math.max(tokenMs, quota.deferredTo - now))
  }
}

/** A bucket as full as it would be, had it been there since this daemon lends. */
function createQuota (limit: QuotaLimit, share: number, lendsFrom: number, now: number): LentQuota {
  const sinceS = (now - lendsFrom) / 1000
  const tokens = (START_TOKENS + sinceS * limit.ratePerS) * share
  const bucket = new TokenBucket({ perSecond: limit.ratePerS * share, burst: capacityOf(limit, share), now, tokens })
  return { bucket, lendsFrom, limit, share, deferredTo: 0, askedAt: now }
}

/** Most tokens that a bucket may hold; a workspace without a burst still sends single requests. */
function capacityOf ({ burst }: QuotaLimit, share: number): number {
  return Math.max(burst, 1) * share
}

/** The lower of each limit, as either daemon may have an outdated configuration. */
function lowerLimit (own: QuotaLimit | undefined, stated: QuotaLimit): QuotaLimit {
  if (!own || own.ratePerS <= 0) return { ratePerS: stated.ratePerS, burst: stated.burst }
  return { ratePerS: Math.min(own.ratePerS, stated.ratePerS), burst: Math.min(own.burst, stated.burst) }
}
