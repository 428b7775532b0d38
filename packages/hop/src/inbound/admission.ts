import type { FullReason } from '../link/reasons.js'
import { urgencyOf } from '../link/urgency.js'
import { FairQueue } from './fairQueue.js'
import { RejectionRates, type RejectionRate } from './rejectionRates.js'
import { SlotUsage } from './slotUsage.js'
import { NO_LIMIT, type SendLimit } from './targetLimit.js'
import { TargetSlowdown } from './targetSlowdown.js'
import { WaitFactor } from './waitFactor.js'

/** A request that asks for a slot of the target. */
export interface SlotRequest {
  readonly key: string
  /** Whether the request is made by another request that holds a slot while it waits for this one. */
  readonly nested: boolean
  /** Priority of the route; lower numbers are more urgent. */
  readonly priority: number
  readonly targetLatencyMs: number
  readonly deadlineAt: number
  readonly arrivedAt: number
  /** Workspace of the caller; undefined if it has none, and for nested calls. */
  readonly workspace?: string | undefined
  /** Milliseconds until the caller would have its answer, if that were ready on arrival. */
  readonly deliveryMs: number
}

/** `start`: the request has got a slot. `queued`: it waits for one. Otherwise it is to be rejected for the reason. */
export type AdmissionDecision = 'start' | 'queued' | FullReason

/** Time from the start of a request to its response, assumed before the target's first response. */
const INITIAL_SERVICE_TIME_MS = 200
/** Pace (latency divided by the target latency of the route) assumed before the target's first response. */
const INITIAL_PACE = 0.4
/** Weight of a new observation in the moving averages. */
const EWMA_WEIGHT = 0.1
/** Observations of the pace are capped here, because a single slow request says little about the pace of the target. */
const MAX_OBSERVED_PACE = 4
/** Smallest part of the slots assumed to be left over by more urgent requests. */
const MIN_SLOT_SHARE = 0.1
/** Part of the target latency that queueing and running may take; the rest is for the network. */
const USABLE_LATENCY_SHARE = 0.9
/** Duration of a slow request as a multiple of the expected one. */
const SLOW_REQUEST_FACTOR = 1.6
/** Part of the target latency that the delivery of an answer may take where another host may have more room on its link. */
const BUSY_LINK_SHARE = 0.4
/** Part of the target latency for which any request may wait, so that short bursts are smoothed. */
const MIN_WAIT_SHARE = 0.1

/**
 * Admission control for the slots of one target and for the rate of requests that it takes. A target never gets more
 * requests at a time than it has slots, nor more in a second than its limit. The others wait in a queue here, ordered by
 * urgency (nested calls first, then by priority of the route), then by fair share between workspaces and then by arrival. Under
 * overload, a request that can no longer be served within its target latency is rejected early, while there is still
 * time to serve it on another target or to retry it later.
 */
export class Admission {
  readonly #limit: SendLimit
  #slots = 1
  #running = 0
  readonly #queue = new FairQueue<SlotRequest>(urgencyOf)
  /** Requests that had to leave the queue to another workspace, until `takeEvicted`. */
  #evicted: SlotRequest[] = []
  /** Moving average of the time from the start of a request to its response. */
  #serviceTimeMs = INITIAL_SERVICE_TIME_MS
  /** Moving average of the same time divided by the target latency of the request's route. */
  #pace = INITIAL_PACE
  /** Longest wait last allowed to requests of each priority. */
  readonly #maxWaitByPriority = new Map<number, number>()
  readonly #rejectionRates = new RejectionRates()
  readonly #slotUsage = new SlotUsage()
  readonly #waitFactor = new WaitFactor()
  readonly #slowdown: TargetSlowdown

  /** `slowdown`: how much the target's machine slows it down now. */
  constructor (limit: SendLimit = NO_LIMIT, slowdown = new TargetSlowdown()) {
    this.#limit = limit
    this.#slowdown = slowdown
  }

  get running (): number {
    return this.#running
  }

  get queued (): number {
    return this.#queue.size
  }

  get slots (): number {
    return this.#slots
  }

  /** Moving average of the latency as a fraction of the target latency, without the effect of temporary slowdowns. */
  get pace (): number {
    return this.#pace
  }

  /** Whether a request would start at once that may not queue: not if its answer would then wait for the link. */
  canStart (request: SlotRequest, now: number): boolean {
    return this.#hasFreeSlot(now) && !isLinkBusy(request)
  }

  /** Why a request can't start at once. */
  fullReason (now: number): FullReason {
    return this.#limit.allows(now) ? 'busy' : 'limited'
  }

  /** Discards what was learned about the previous target, for a new one. */
  reset (slots: number): void {
    this.#slots = Math.max(1, slots)
    this.#serviceTimeMs = INITIAL_SERVICE_TIME_MS
    this.#pace = INITIAL_PACE
    this.#rejectionRates.clear()
  }

  /** Rejection rate of the most urgent priority that is being rejected; undefined when none is. */
  rejectionRate (now: number): RejectionRate | undefined {
    return this.#rejectionRates.mostUrgent(now)
  }

  /** Asks for a slot; with `mayQueue`, a request that can't start is queued if it can still be served in time. */
  admit (request: SlotRequest, mayQueue: boolean, now: number): AdmissionDecision {
    const isFree = mayQueue ? this.#hasFreeSlot(now) && this.#isLinkInTime(request, now) : this.canStart(request, now)
    if (!request.nested && (isFree || mayQueue)) this.#rejectionRates.countRequest(request.priority, now)
    if (isFree) {
      this.#queue.recordStart(request)
      this.#occupySlot(now)
      return 'start'
    }
    if (mayQueue && this.#canServeInTime(request, this.#queue.countAhead(request), this.#waitFactorOf(request, now), now)) {
      this.#enqueue(request, now)
      return 'queued'
    }
    if (!request.nested && mayQueue) this.#rejectionRates.countRejection(request.priority, now)
    return this.fullReason(now)
  }

  /** Frees the slot that a request held for `ms`. */
  release (request: SlotRequest, ms: number, now: number): void {
    this.#running = Math.max(0, this.#running - 1)
    this.#slotUsage.add(urgencyOf(request), ms, now)
  }

  /** Adds the latency of a response, as it would have been without slowdown, to the moving averages. */
  recordLatency (ms: number, targetLatencyMs: number): void {
    const pace = Math.min(MAX_OBSERVED_PACE, ms / Math.max(1, targetLatencyMs))
    this.#pace += EWMA_WEIGHT * (pace - this.#pace)
    this.#serviceTimeMs += EWMA_WEIGHT * (ms - this.#serviceTimeMs)
  }

  /** Removes a request from the queue; false if it is not queued. */
  remove (key: string): boolean {
    return this.#queue.removeIf((request) => request.key === key).length > 0
  }

  /** Returns the requests that had to leave the queue since the last time. */
  takeEvicted (): SlotRequest[] {
    const evicted = this.#evicted
    this.#evicted = []
    return evicted
  }

  /** Removes and returns the queued requests that can no longer be served in time. */
  dequeueExpired (now: number): SlotRequest[] {
    const expired = this.#queue.removeIf((request) => !this.#isInTime(request, now))
    for (const { nested, priority } of expired) {
      if (nested) continue
      this.#rejectionRates.countRejection(priority, now)
      this.#waitFactor.recordExpiry(now)
    }
    return expired
  }

  /** Takes a queued request for each free slot; these count as running from now on. */
  dequeueReady (now: number): SlotRequest[] {
    const ready: SlotRequest[] = []
    while (this.#queue.size > 0 && this.#canStartNext(now)) {
      const request = this.#queue.take()!
      if (!request.nested) this.#waitFactor.recordStart(now)
      ready.push(request)
      this.#occupySlot(now)
    }
    return ready
  }

  /** Empties the queue, for a target that takes no more work. */
  dequeueAll (): SlotRequest[] {
    return this.#queue.removeIf(() => true)
  }

  #hasFreeSlot (now: number): boolean {
    return this.#queue.size === 0 && this.#canStartNext(now)
  }

  /** Whether the next request in order could start now. */
  #canStartNext (now: number): boolean {
    return this.#running < this.#slots && this.#limit.allows(now)
  }

  #occupySlot (now: number): void {
    this.#running++
    this.#limit.take(now)
  }

  /** Nested calls go first, and so does a workspace with nothing in the queue: how long others waited says little about them. */
  #waitFactorOf (request: SlotRequest, now: number): number {
    const isNextInTurn = request.workspace !== undefined && !this.#queue.hasRequestsOf(request)
    return request.nested || isNextInTurn ? 1 : this.#waitFactor.at(now)
  }

  /** Whether a request would still start in time if it were queued now, with `ahead` others before it; `waitFactor`: factor on the estimated wait. */
  #canServeInTime (request: SlotRequest, ahead: number, waitFactor: number, now: number): boolean {
    const urgentShare = this.#slotUsage.slotsOfMoreUrgent(urgencyOf(request), now) / this.#slots
    const slotWaitMs = (ahead + 1) * this.#serviceTimeMs * this.#slowdown.at(now) / this.#slots / Math.max(MIN_SLOT_SHARE, 1 - urgentShare) * waitFactor
    return this.#isLinkInTime(request, now) && now + Math.max(slotWaitMs, this.#limit.waitMs(ahead, now)) <= this.#latestStart(request, now)
  }

  /** Whether the answer gets to its caller in time; the request runs while the link sends what is before it. */
  #isLinkInTime (request: SlotRequest, now: number): boolean {
    return now + request.deliveryMs - this.#expectedMs(request, now) <= this.#latestStart(request, now)
  }

  #isInTime (request: SlotRequest, now: number): boolean {
    return now <= this.#latestStart(request, now)
  }

  /**
   * Time after which starting a request is no longer useful: it should end within its target latency even if it takes
   * longer than most. A nested call may wait until it can just meet its deadline, as without it the work of the request
   * that made it is lost.
   */
  #latestStart (request: SlotRequest, now: number): number {
    const { arrivedAt, deadlineAt, nested } = request
    const lastStart = deadlineAt - this.#expectedMs(request, now)
    if (nested) return lastStart
    return Math.min(lastStart, arrivedAt + this.#maxWaitMs(request, now))
  }

  /** At least as long as for any less urgent priority, so that no request is rejected where a less urgent one is served. */
  #maxWaitMs (request: SlotRequest, now: number): number {
    const { targetLatencyMs, priority } = request
    const expectedMs = this.#expectedMs(request, now)
    const ownMs = Math.max(MIN_WAIT_SHARE * targetLatencyMs, USABLE_LATENCY_SHARE * targetLatencyMs - SLOW_REQUEST_FACTOR * expectedMs)
    this.#maxWaitByPriority.set(priority, ownMs)
    let longestMs = ownMs
    for (const [other, ms] of this.#maxWaitByPriority) if (other > priority && ms > longestMs) longestMs = ms
    return longestMs
  }

  /** Time from the start of a request to its response. */
  #expectedMs ({ targetLatencyMs }: SlotRequest, now: number): number {
    return this.#pace * this.#slowdown.at(now) * targetLatencyMs
  }

  /**
   * Queues a request. If the queue is then longer than can be served in time, the workspace that has most requests in it loses its
   * newest, which can still be sent elsewhere; it would otherwise expire after a wait in vain.
   */
  #enqueue (request: SlotRequest, now: number): void {
    if (!this.#canServeInTime(request, this.#queue.countAsUrgent(request), request.nested ? 1 : this.#waitFactor.at(now), now)) {
      const evicted = this.#queue.evictFor(request)
      if (evicted) this.#evict(evicted, now)
    }
    this.#queue.add(request)
  }

  #evict (request: SlotRequest, now: number): void {
    this.#evicted.push(request)
    if (!request.nested) this.#rejectionRates.countRejection(request.priority, now)
  }
}

function isLinkBusy ({ nested, deliveryMs, targetLatencyMs }: SlotRequest): boolean {
  return !nested && deliveryMs > BUSY_LINK_SHARE * targetLatencyMs
}
