import { isFullReason, type NotRunReason } from '../link/reasons.js'
import type { CallMessage, HopReply, TargetLoad } from '../link/messages.js'
import type { TargetRecord } from '../fleet/hostRecord.js'
import { Admission } from './admission.js'
import { CallRegistry } from './callRegistry.js'
import { CrashGuard } from './crashGuard.js'
import { departureOf, heldTimes, linkLoad, isConnectionLost, replyOf, slotRequestOf, type InboundCall as Call, type InboundOptions } from './inboundCall.js'
import { serializeRequest } from './serializeRequest.js'
import { RunningRequests, type RequestOrigin } from './runningRequests.js'
import { isSuccess, TargetHealth } from './targetHealth.js'
import { TargetLimit } from './targetLimit.js'
import type { TargetResult } from './targetResult.js'
import { TargetSlowdown } from './targetSlowdown.js'

/** Time after the deadline in which the target's own response to it may still arrive. */
const DEADLINE_GRACE_MS = 60
/** Time that a sender whose connection broke has to settle its call before the call is cancelled. */
const SETTLE_GRACE_MS = 1_500
const QUEUE_CHECK_INTERVAL_MS = 50
const PRUNE_INTERVAL_MS = 1_000
const LIMIT_LOG_INTERVAL_MS = 1_000
/** Largest part of the requests rejected as displacing; the rest run, so that it shows when they no longer displace others. */
const MAX_DISPLACING_SHARE = 0.9

/**
 * Takes the calls that other daemons offer for the target beside this one, and is the only way to that target. It
 * rejects calls that the target can't take, admits the others to the target's slots, runs them, and tells senders that
 * lost their connection whether a call was started.
 */
export class InboundHandler {
  readonly #opts: InboundOptions
  readonly #admission: Admission
  readonly #registry: CallRegistry
  readonly #calls = new Map<string, Call>()
  readonly #runningRequests = new RunningRequests()
  readonly #limit: TargetLimit
  readonly #slowdown = new TargetSlowdown()
  readonly #health = new TargetHealth()
  readonly #crashes: CrashGuard
  /** The target whose state the other fields hold. */
  #known: TargetRecord | undefined
  #isRefusing = false

  constructor (opts: InboundOptions) {
    this.#opts = opts
    this.#registry = new CallRegistry(opts.maxRetainedBytes)
    this.#limit = new TargetLimit(opts.log, () => this.#coldPerS())
    this.#admission = new Admission(this.#limit, this.#slowdown)
    this.#crashes = new CrashGuard({
      ...opts,
      tryConnect: (done) => opts.client.tryConnect(done),
      running: () => [...this.#calls.values()].filter(({ state }) => state === 'running'),
      onCrash: (isPlanned) => this.#onCrash(isPlanned)
    })
    opts.timers.every(QUEUE_CHECK_INTERVAL_MS, () => this.#checkQueue())
    opts.timers.every(PRUNE_INTERVAL_MS, () => this.#registry.prune(opts.timers.now()))
    opts.timers.every(LIMIT_LOG_INTERVAL_MS, () => this.#limit.logSent(this.#known?.id ?? '', opts.timers.now()))
  }

  /** Number of calls that are queued or running. */
  get active (): number {
    return this.#calls.size + this.#crashes.unsettled
  }

  /** Requests that wait for a slot of the target, and its slots. */
  get occupancy (): { queued: number, slots: number } {
    const { queued, slots } = this.#admission
    return { queued, slots }
  }

  /** Requests per second that the target takes, Infinity for no limit, and the requests that it was sent in the last seconds. */
  get rate (): { limitPerS: number, sent: number } {
    return { limitPerS: this.#limit.perS, sent: this.#limit.sentCounts(this.#opts.timers.now()).all }
  }

  /** How much others on its machine slow the target down now, 1 for as usual; undefined if it doesn't tell. */
  get slowdown (): number | undefined {
    return this.#slowdown.isKnown ? this.#slowdown.at(this.#opts.timers.now()) : undefined
  }

  /** Who made a request, from its id. */
  originOf (requestId: string): RequestOrigin {
    return this.#runningRequests.originOf(requestId)
  }

  /** Records that a request running on the target called a service; `requestId` is the id of the nested call. */
  recordNestedCall (requestId: string, service: string): void {
    this.#runningRequests.recordNestedCall(requestId, service)
  }

  /** Records that a call of a request running on the target was refused because it crashes targets. */
  recordNestedRefusal (requestId: string): void {
    this.#runningRequests.recordNestedRefusal(requestId)
  }

  /** From now on all offers are rejected, as the daemon is about to exit. */
  startRefusing (): void {
    this.#isRefusing = true
  }

  /** Cancels the runs of a request that is no longer sent, before they crash the target; one that isn't idempotent goes on. */
  cancelRefused (fingerprint: string): void {
    for (const call of this.#calls.values()) if (call.message.idempotent && this.#crashes.fingerprintOf(call.message) === fingerprint) call.abort?.()
  }

  /** Takes an offered call; `reply` is called once, or not at all if the sender's connection breaks before. */
  offer (message: CallMessage, reply: (reply: HopReply) => void): void {
    if (!this.#registry.register(message.key, reply)) return reply({ kind: 'notRun', reason: 'revoked' })
    try {
      this.#admit(message)
    } catch (err) {
      this.#endFailed(message, err)
    }
  }

  #admit (message: CallMessage): void {
    const { key } = message
    const target = this.#opts.target()
    const rejection = this.#rejectionReason(message, target) ?? this.#crashes.refusalReason(message, this.#calls.values())
    if (rejection) return this.#replyNotRun(message, rejection)
    const now = this.#opts.timers.now()
    if (message.heardLimitPerS !== undefined) this.#limit.adopt(message.targetId, message.heardLimitPerS, now)
    const displaced = message.nested ? undefined : this.#findOverloadedDependency(message)
    if (displaced) return this.#replyNotRun(message, 'displacing', displaced)
    const slotRequest = slotRequestOf(message, this.#opts.link.deliveryMs(message.route), now)
    if (message.mode === 'ask') return this.#replyNotRun(message, this.#admission.canStart(slotRequest, now) ? 'vacant' : this.#admission.fullReason(now))
    const decision = this.#admission.admit(slotRequest, message.mode === 'queue', now)
    if (decision === 'busy' || decision === 'limited') return this.#replyNotRun(message, decision)
    const call: Call = { message, target: target!, slotRequest, state: 'queued', startedAt: now, slowdownAtStart: 1, ranMs: 0 }
    this.#calls.set(key, call)
    if (decision === 'start') this.#start(call)
    this.#endEvicted(now)
  }

  /** Ends the calls that had to leave the queue to another workspace. */
  #endEvicted (now: number): void {
    for (const slotRequest of this.#admission.takeEvicted()) {
      const call = this.#calls.get(slotRequest.key)
      if (call) this.#endCallNotRun(call, this.#admission.fullReason(now), { evicted: true })
    }
  }

  /** Cancels a call that its sender no longer wants. A running call that isn't idempotent runs to its end. */
  cancel (key: string): void {
    const call = this.#calls.get(key)
    if (!call) return
    if (call.state === 'queued') return this.#withdraw(call, 'revoked')
    if (call.message.idempotent) call.abort?.()
  }

  /** Called when the connection of a call broke. The call is cancelled unless its sender settles it in time. */
  onSenderDisconnect (key: string): void {
    this.#registry.detach(key)
    const call = this.#calls.get(key)
    if (!call) return
    this.#opts.timers.after(SETTLE_GRACE_MS, () => {
      if (!this.#registry.hasListener(key)) this.cancel(key)
    })
  }

  /** Tells a sender that lost the connection of its call how the call ended. A call that has not started is revoked. */
  settle (key: string, incarnation: number, reply: (reply: HopReply) => void): void {
    if (incarnation !== this.#opts.incarnation()) return reply({ kind: 'failed', reason: 'lost' })
    const call = this.#calls.get(key)
    const settlement = this.#registry.settle(key, reply, this.#opts.timers.now())
    this.#opts.log.decision('settled', { call: key, settlement })
    if (call?.state === 'queued') this.#withdraw(call, 'revoked')
  }

  /** Called when the target's record changed. Queued calls end as not run if the target no longer accepts requests. */
  onTargetChange (): void {
    const target = this.#opts.target()
    if (target && !this.#isKnown(target)) {
      this.#crashes.onNewStart(target)
      this.#known = target
      this.#admission.reset(target.slots)
      this.#health.reset()
      this.#limit.reset()
      this.#slowdown.reset()
      this.#opts.client.reset()
    }
    if (target?.state === 'ready') return
    this.#crashes.onLeaving()
    this.#endQueued(target ? 'draining' : 'noTarget')
  }

  /** Called when the evacuation of this data centre begins. Queued calls end as not run; those that run go on. */
  onEvacuation (): void {
    this.#endQueued('evacuated')
  }

  /** Load of the target, which other daemons use for load balancing; undefined when there is no target. */
  load (): TargetLoad | undefined {
    const target = this.#opts.target()
    if (!target) return undefined
    const now = this.#opts.timers.now()
    const { running, queued, slots, pace } = this.#admission
    const { slowdown } = this
    const rate = this.#admission.rejectionRate(now)
    const pressed = rate ? { pressedPriority: rate.priority, pressedShare: rate.share } : {}
    return { targetId: target.id, running, queued, slots, pace, failing: this.#health.failureRate, ...slowdown === undefined ? {} : { slowdown }, ...pressed, ...this.#limit.load(queued, now), ...linkLoad(this.#opts.link) }
  }

  /** Whether the target is the one that is known, in the same start. */
  #isKnown ({ id, startedAt }: TargetRecord): boolean {
    return this.#known?.id === id && this.#known.startedAt === startedAt
  }

  /**
   * Returns a service that requests of the route call and that rejects more urgent requests, if this request is to be
   * rejected for it. Nested calls are admitted first there and displace the others, so they can only be prevented here,
   * before the request that makes them runs.
   */
  #findOverloadedDependency ({ route, priority }: CallMessage): { service: string, share: number } | undefined {
    for (const service of this.#runningRequests.servicesOf(route)) {
      const share = this.#opts.rejectionRate(service, priority)
      if (share > 0 && this.#opts.random.next() < Math.min(MAX_DISPLACING_SHARE, share)) return { service, share }
    }
    return undefined
  }

  /** Why the target can't take a call, whatever its load; undefined when it can. */
  #rejectionReason (message: CallMessage, target: TargetRecord | undefined): NotRunReason | undefined {
    if (message.incarnation !== this.#opts.incarnation()) return 'unsent'
    if (this.#isRefusing) return 'stopping'
    if (this.#opts.isEvacuated?.()) return 'evacuated'
    if (!target) return 'noTarget'
    if (target.id !== message.targetId || target.service !== message.service) return 'otherTarget'
    if (target.state !== 'ready') return 'draining'
    if (!this.#opts.isVersionAllowed(target.service, target.version)) return 'draining'
    if (this.#health.isUnreachable(this.#opts.isAnnouncementOverdue(), this.#opts.timers.now())) return 'unreachable'
    return undefined
  }

  /** Requests per second that the target tolerates because it is or may be cold; undefined if it isn't, or its service has no such limit. */
  #coldPerS (): number | undefined {
    const perS = this.#known && this.#opts.coldPerS(this.#known.service)
    if (perS === undefined) return undefined
    const isCold = (this.#opts.target()?.coldMs ?? 0) > 0 || this.#opts.isPresumedCold?.() === true
    return isCold ? perS : undefined
  }

  #start (call: Call): void {
    const { message, slotRequest } = call
    const now = this.#opts.timers.now()
    const remainingMs = slotRequest.deadlineAt - now
    const isRefused = this.#crashes.isRefused(message)
    if (remainingMs <= 0 || isRefused) {
      this.#admission.release(slotRequest, 0, now)
      return this.#endCallNotRun(call, isRefused ? 'suspect' : 'expired')
    }
    call.state = 'running'
    this.#health.recordStart(now)
    this.#runningRequests.add(message.requestId, { route: message.route, isRetry: message.repeat })
    call.startedAt = now
    call.slowdownAtStart = this.#slowdown.at(now)
    this.#limit.recordSent(message, now)
    call.endOnLink = this.#opts.link.start(message.route)
    const serialized = serializeRequest(message, remainingMs, this.#opts.names)
    const request = { requestId: message.requestId, method: message.method, ...serialized, timeoutMs: remainingMs + DEADLINE_GRACE_MS }
    call.abort = this.#opts.client.send(request, message.idempotent, (result) => {
      try {
        this.#onResult(call, result)
      } catch (err) {
        this.#endFailed(message, err)
      }
    })
  }

  /** Ends a call whose handling failed unexpectedly; the target may have run it. */
  #endFailed ({ key, requestId: id }: CallMessage, err: unknown): void {
    this.#opts.log.call(false, 'inbound', { id, call: key, outcome: 'internalError', error: (err as Error).stack })
    this.#calls.get(key)?.endOnLink?.()
    this.#calls.delete(key)
    this.#registry.complete(key, { kind: 'failed', reason: 'lost' }, this.#opts.timers.now())
  }

  #onResult (call: Call, result: TargetResult): void {
    const now = this.#opts.timers.now()
    const ms = now - call.startedAt
    call.ranMs = ms
    call.endOnLink?.(result.kind === 'response' ? result.body.length : undefined)
    this.#admission.release(call.slotRequest, ms, now)
    this.#calls.delete(call.message.key)
    const isDoomed = this.#runningRequests.isDoomed(call.message.requestId)
    this.#runningRequests.remove(call.message.requestId)
    this.#health.recordResult(result, this.#calls.size === 0, now)
    this.#recordSlowdown(call, result, now)
    this.#recordResult(call, result, ms)
    this.#recordStatement(call, result, now)
    if (result.kind === 'response') this.#crashes.onSurvival(call)
    if (result.kind === 'failed' && result.reason === 'cancelled') this.#crashes.onCancel(call)
    if (isConnectionLost(result)) return this.#crashes.onLoss(call, (reason) => this.#endCall(call, reason ? { kind: 'failed', reason } : result, ms))
    this.#endCall(call, result, ms, isDoomed)
  }

  /** Replies to a call that ran; `isFinal`: a retry would fail likewise. */
  #endCall (call: Call, result: TargetResult, ms: number, isFinal = false): void {
    this.#reply(call.message, { ...replyOf(call, result, isFinal), ...heldTimes(call) })
    this.#logResult(call, result, ms)
    this.#startQueued()
  }

  #onCrash (isPlanned: boolean): void {
    this.#health.recordCrash(this.#opts.timers.now())
    this.#endQueued('unreachable')
    if (!isPlanned) this.#opts.onTargetCrash()
  }

  /** Updates what is known about the target's latency, and passes on the result. */
  #recordResult (call: Call, result: TargetResult, ms: number): void {
    if (result.kind === 'failed' && result.reason === 'cancelled') return
    const ok = isSuccess(result)
    const slowdown = (call.slowdownAtStart + this.#slowdown.at(this.#opts.timers.now())) / 2
    if (ok) this.#admission.recordLatency(ms / slowdown, call.message.targetLatencyMs)
    const target = this.#opts.target()
    if (target?.id === call.message.targetId && result.kind !== 'notRun') {
      const { route, targetLatencyMs } = call.message
      this.#opts.onResult(target, { route, ok, ms, targetLatencyMs })
    }
  }

  /** Takes over how much the target's machine slows it down, unless the target has been replaced since the call arrived. */
  #recordSlowdown ({ target }: Call, result: TargetResult, now: number): void {
    const slowdown = result.kind === 'failed' ? undefined : result.reported?.slowdown
    if (slowdown !== undefined && this.#isKnown(target)) this.#slowdown.record(slowdown, now)
  }

  /** Takes over what the target states of itself, unless it has been replaced since the call arrived. */
  #recordStatement ({ target }: Call, result: TargetResult, now: number): void {
    if (result.kind === 'failed' || !result.statement || !this.#isKnown(target)) return
    this.#limit.observe(target.id, result.statement, result.kind === 'notRun', now)
    if (result.statement.isLeaving) this.#opts.onTargetLeaving(departureOf(target))
  }

  #logResult (call: Call, result: TargetResult, ms: number): void {
    const outcome = result.kind === 'response' ? result.status : result.reason
    this.#log(call.message, isSuccess(result), outcome, { ms: Math.round(ms), queuedMs: Math.round(call.startedAt - call.slotRequest.arrivedAt) })
  }

  #log (message: CallMessage, isPlain: boolean, outcome: number | string, details: object = {}): void {
    const { requestId: id, key: call, route, targetId: target, workspace } = message
    const { running, queued } = this.#admission
    this.#opts.log.call(isPlain, 'inbound', { id, call, route, ...workspace === undefined ? {} : { workspace }, target, outcome, ...details, running, queued })
  }

  /** Removes a call from the queue. */
  #withdraw (call: Call, reason: NotRunReason): void {
    this.#admission.remove(call.message.key)
    this.#endCallNotRun(call, reason)
  }

  /** Ends all queued calls as not run. */
  #endQueued (reason: NotRunReason): void {
    for (const slotRequest of this.#admission.dequeueAll()) {
      const call = this.#calls.get(slotRequest.key)
      if (call) this.#endCallNotRun(call, reason)
    }
  }

  #endCallNotRun (call: Call, reason: NotRunReason, details: object = {}): void {
    this.#calls.delete(call.message.key)
    this.#replyNotRun(call.message, reason, details)
  }

  #replyNotRun (message: CallMessage, reason: NotRunReason, details: object = {}): void {
    if (reason !== 'vacant') this.#opts.onRefusal(message.route, reason)
    this.#reply(message, { kind: 'notRun', reason })
    this.#log(message, message.mode !== 'queue' && (isFullReason(reason) || reason === 'vacant'), reason, details)
  }

  /** Replies to a call, and adds the current load of the target. */
  #reply (message: CallMessage, reply: HopReply): void {
    const load = this.load()
    if (load && reply.kind === 'notRun' && reply.reason === 'limited') load.limitedMs = this.#limit.nextTurnMs(load.queued, this.#opts.timers.now())
    this.#registry.complete(message.key, load ? { ...reply, load } : reply, this.#opts.timers.now())
  }

  /** Ends queued calls that can no longer be served in time as not run, and starts others in free slots. */
  #checkQueue (): void {
    if (this.#admission.queued === 0) return
    const now = this.#opts.timers.now()
    for (const slotRequest of this.#admission.dequeueExpired(now)) {
      const call = this.#calls.get(slotRequest.key)
      if (call) this.#endCallNotRun(call, this.#admission.fullReason(now))
    }
    this.#startQueued()
  }

  /** While it isn't known whether the target has crashed, nothing is started. */
  #startQueued (): void {
    if (this.#crashes.isChecking) return
    const now = this.#opts.timers.now()
    for (const slotRequest of this.#admission.dequeueReady(now)) {
      const call = this.#calls.get(slotRequest.key)
      if (call) this.#start(call)
      else this.#admission.release(slotRequest, 0, now)
    }
  }
}
