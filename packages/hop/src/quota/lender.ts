import { TokenBucket, type Random } from '@lentilwheel/core'
import type { QuotaAnswer, QuotaMode, QuotaQuestion } from '../link/messages.js'
import type { LenderRanking, LendingStart } from './lenderRanking.js'

/** Requests per second of a workspace over all daemons, and how many beyond that may come at once. */
export interface QuotaLimit {
  readonly ratePerS: number
  readonly burst: number
}

export interface LenderOptions {
  random: Random
  ranking: LenderRanking
  /** Part of the quota that this daemon may lend, as others may lend the rest: 1 while all daemons are in touch. */
  shareOf (workspace: string): number
  /** Limit in the active configuration; undefined if it doesn't have the workspace. */
  limitOf (workspace: string): QuotaLimit | undefined
  /** Requests by which the deployment lets a workspace pass its quota in a short time; absent for none. */
  slack?: number | undefined
}

/** What this daemon keeps for a workspace that it lends for. */
interface LentQuota {
  readonly bucket: TokenBucket
  /** Another start means that this daemon was replaced in between. */
  readonly start: LendingStart
  limit: QuotaLimit
  share: number
  /** Time to which the last asker that lacked credits was deferred. */
  deferredTo: number
  askedAt: number
  /** When another daemon was seen to rank before this one. */
  replacedAt: number | undefined
}

/** Part of the slack that a bucket may hold; the rest covers credits that are out, and what is lent twice until a cut is noticed. */
const BUCKET_SLACK_SHARE = 0.3
/** Tokens that a bucket starts with, so that a small workspace isn't refused its first request. */
const START_TOKENS = 2
/** Part of the bucket that retries of refused requests leave to new ones, which can still be answered within their target latency. */
const REPEAT_RESERVE = 0.25
/** Longest time that an asker is told to wait while tokens may be left unused. */
const MAX_DEFER_MS = 1_000
/** Part of the time in which a bucket fills that an asker may be told to wait; a longer wait would let tokens be lost. */
const DEFER_FILL_PART = 0.5
/** Time for which a daemon lends on after another one was seen to rank before it; a daemon that starts can't lend for about a second. */
const HANDOVER_MS = 1_500
/** Time without a question after which a full bucket is dropped. */
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

  answer (question: QuotaQuestion, mode: QuotaMode, now: number): QuotaAnswer {
    const start = this.#opts.ranking.startOf(question.workspace, now)
    if (!start) {
      const quota = this.#replacedQuota(question.workspace, now)
      return quota && mode === 'handover' ? this.#lend(quota, question, now) : { kind: 'notLender' }
    }
    if (now < start.lendsFrom) {
      // Has the share estimated by the time of the first answer.
      this.#opts.shareOf(question.workspace)
      return { kind: 'settling', waitMs: start.lendsFrom - now }
    }
    return this.#lend(this.#ownQuota(question.workspace, question, start, now), question, now)
  }

  #lend (quota: LentQuota, question: QuotaQuestion, now: number): QuotaAnswer {
    const { count, isRepeat } = question
    quota.askedAt = now
    this.#setLimits(quota, question, now)
    const reserve = isRepeat ? reserveOf(quota.limit, quota.share) : 0
    const lent = this.#take(quota, count, reserve, now)
    this.lent += lent
    if (lent === count) return { kind: 'lent', count, waitMs: 0 }
    return { kind: 'lent', count: lent, waitMs: isRepeat ? repeatWaitMs(quota, reserve, now) : this.#defer(quota, count - lent, now) }
  }

  /** Drops buckets that nobody asks for, and those of workspaces that another daemon lends for now. */
  sweep (now: number): void {
    for (const [workspace, { askedAt, bucket, limit, share }] of this.#quotas) {
      // A bucket that isn't full yet would be created anew as a full one.
      if (now - askedAt > IDLE_MS && bucket.waitMs(now, capacityOf(limit, share)) === 0) this.#end(workspace)
      else if (!this.#opts.ranking.startOf(workspace, now)) this.#replacedQuota(workspace, now)
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

  /** What this daemon keeps for a workspace that another one lends for now; undefined for nothing or once the handover is over. */
  #replacedQuota (workspace: string, now: number): LentQuota | undefined {
    const quota = this.#quotas.get(workspace)
    if (!quota) return undefined
    quota.replacedAt ??= now
    if (now - quota.replacedAt <= HANDOVER_MS) return quota
    this.#end(workspace)
    return undefined
  }

  /** What this daemon keeps for a workspace that it lends for. */
  #ownQuota (workspace: string, stated: QuotaLimit, start: LendingStart, now: number): LentQuota {
    const known = this.#quotas.get(workspace)
    if (known && known.replacedAt === undefined && known.start.lendsFrom === start.lendsFrom) return known
    if (known) this.#end(workspace)
    const limit = this.#limitFor(workspace, stated)
    const quota = createQuota(limit, this.#opts.shareOf(workspace), start, now)
    this.#quotas.set(workspace, quota)
    this.#changes.began++
    return quota
  }

  /** The limit that the bucket applies: without the slack, the uneven arrivals of a small workspace would cost it requests within its quota. */
  #limitFor (workspace: string, stated: QuotaLimit): QuotaLimit {
    const { ratePerS, burst } = lowerLimit(this.#opts.limitOf(workspace), stated)
    return { ratePerS, burst: burst + (this.#opts.slack ?? 0) * BUCKET_SLACK_SHARE }
  }

  /** Applies the limits as they are now. */
  #setLimits (quota: LentQuota, question: QuotaQuestion, now: number): void {
    const limit = this.#limitFor(question.workspace, question)
    const share = this.#opts.shareOf(question.workspace)
    if (quota.share === share && quota.limit.ratePerS === limit.ratePerS && quota.limit.burst === limit.burst) return
    quota.bucket.setLimits(now, limit.ratePerS * share, capacityOf(limit, share))
    quota.limit = limit
    quota.share = share
  }

  #take ({ bucket, limit, share }: LentQuota, count: number, reserve: number, now: number): number {
    if (capacityOf(limit, share) >= 1) return bucket.takeUpTo(now, count, reserve)
    // A bucket that can't hold a whole token would never lend. Rounding at random keeps the sum over all parts of a divided fleet.
    return this.#opts.random.next() < bucket.takeAll(now) ? 1 : 0
  }

  /** Milliseconds for which an asker that lacks credits should not ask again; each is told the time by which those before it have got theirs. */
  #defer (quota: LentQuota, missing: number, now: number): number {
    const { bucket, limit, share } = quota
    const perSecond = limit.ratePerS * share
    const fillMs = capacityOf(limit, share) / perSecond * 1000
    const longestMs = Math.min(MAX_DEFER_MS, fillMs * DEFER_FILL_PART)
    const turnAt = Math.max(quota.deferredTo, now)
    quota.deferredTo = Math.min(turnAt + missing * 1000 / perSecond, now + longestMs)
    const tokenMs = Math.min(bucket.waitMs(now), fillMs)
    return Math.ceil(Math.max(tokenMs, turnAt - now))
  }
}

/** Milliseconds until the bucket has a token beyond the reserve, if nobody else takes any. */
function repeatWaitMs ({ bucket }: LentQuota, reserve: number, now: number): number {
  return Math.ceil(Math.min(MAX_DEFER_MS, bucket.waitMs(now, reserve + 1)))
}

/** A bucket as full as it would be, had it been there since this daemon's bucket fills. */
function createQuota (limit: QuotaLimit, share: number, start: LendingStart, now: number): LentQuota {
  const sinceS = (now - start.fillsFrom) / 1000
  const tokens = (START_TOKENS + sinceS * limit.ratePerS) * share
  const bucket = new TokenBucket({ perSecond: limit.ratePerS * share, burst: capacityOf(limit, share), now, tokens })
  return { bucket, start, limit, share, deferredTo: 0, askedAt: now, replacedAt: undefined }
}

/** Tokens that retries of refused requests leave in the bucket; a full one always has one for them. */
function reserveOf (limit: QuotaLimit, share: number): number {
  const capacity = capacityOf(limit, share)
  return Math.max(0, Math.min(REPEAT_RESERVE * capacity, capacity - 1))
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
