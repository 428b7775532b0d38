import type { Cancel } from '@lentilwheel/core'
import { isFullReason, type FailureReason, type NotRunReason } from '../link/reasons.js'
import { NotForwardable } from '../errors.js'
import type { CallWaits } from '../observe/trafficSummary.js'
import type { HostRecord } from '../fleet/hostRecord.js'
import { headerText } from '../headers.js'
import type { CallMessage, HopReply, OfferMode } from '../link/messages.js'
import { urgencyOf } from '../link/urgency.js'
import type { MeshRoute, MeshWorkspace } from '../routing/meshConfig.js'
import { FIRST_HOLD_MS, isRefused, type Standing } from '../quarantine/quarantine.js'
import { requestFingerprint } from '../quarantine/requestFingerprint.js'
import type { VersionChoice } from '../rollout/versionRules.js'
import { CallHedge } from './callHedge.js'
import { callFlow, type CallCommand, type CallEvent, type CallContext } from './callFlow.js'
import type { Candidate } from './costEstimate.js'
import type { CallerRequest, ForwardedResponse, OutboundOptions, Responder } from './outboundTypes.js'
import { retryAfterMs } from './retryAfter.js'

/** Upper limit on the time of a request, also where neither caller nor route sets one. */
const MAX_DEADLINE_MS = 60_000
const NO_BODY = new Uint8Array()
/** Rejections, besides those of a full target, by a daemon that is reachable and whose target accepts requests; it is not avoided after them. */
const AVAILABLE_REASONS: ReadonlySet<NotRunReason> = new Set(['shed', 'displacing', 'vacant', 'suspect', 'quarantined'] as const)

/** Failures after which a daemon is avoided: it or its target is not to be reached. */
const UNREACHABLE_REASONS: ReadonlySet<FailureReason> = new Set(['lost', 'timeout', 'crashed', 'targetEnded'] as const)

/** What one call needs besides the options of the outbound side. */
export interface OutboundCallInput {
  req: CallerRequest
  res: Responder
  route: MeshRoute
  /** Workspace of the caller; undefined for a request without a key. */
  workspace: MeshWorkspace | undefined
  service: string
  /** When the request was read, which its deadline counts from. */
  arrivedAt: number
  /** Version of the configuration that the route belongs to. */
  configVersion: number
  /** Whether the caller seems to retry after a rejection. */
  isCallerRetry: boolean
  /** Returns a new unique key for an offer. */
  nextKey (): string
  /** Called, before `onEnd`, if the request ends without having run. */
  onNotRun (): void
  onEnd (): void
}

/** What a request would meet first. */
export interface CallPreview {
  /** Best first. */
  candidates: Candidate[]
  standing: Standing
  priority: number
  command: CallCommand | undefined
}

/**
 * Runs one request from arrival to response: executes the commands of its `callFlow` (offers to other daemons, timers, the
 * response to the caller) and feeds replies, timers and the caller's departure back as events.
 */
export class OutboundCall {
  readonly #opts: OutboundOptions
  readonly #input: OutboundCallInput
  readonly #startedAt: number
  readonly #deadlineAt: number
  readonly #priority: number
  readonly #urgency: number
  readonly #versionChoice: VersionChoice | undefined
  readonly #hedge: CallHedge
  readonly #flow: Generator<CallCommand[], void, CallEvent>
  readonly #cancels = new Map<number, () => void>()
  readonly #pendingEvents: CallEvent[] = []
  #stopTimer: Cancel = () => {}
  #isProcessing = false
  #isDone = false
  #offerCount = 0
  /** When the offer was sent that was replied to last. */
  #repliedOfferAt: number
  /** When this daemon was told that a target had crashed while it ran the request. */
  #crashedAt: number | undefined
  #cachedFingerprint: string | undefined
  /** The targets as they were last ranked. */
  #ranked: Candidate[] = []

  constructor (opts: OutboundOptions, input: OutboundCallInput) {
    const { req, route, workspace, service, arrivedAt } = input
    this.#opts = opts
    this.#input = input
    this.#startedAt = arrivedAt
    this.#repliedOfferAt = this.#startedAt
    this.#deadlineAt = this.#startedAt + Math.min(req.head.deadlineMs, route.timeoutMs, MAX_DEADLINE_MS)
    this.#priority = workspace?.priority ?? route.priority
    this.#urgency = urgencyOf({ nested: req.origin !== 'caller', priority: this.#priority })
    this.#versionChoice = opts.versions.choose(service)
    this.#hedge = new CallHedge(opts, { route, service, urgency: this.#urgency })
    this.#flow = callFlow({ route, deadlineAt: this.#deadlineAt, bodyBytes: req.body.length }, this.#context())
  }

  start (): void {
    const { budget, timers } = this.#opts
    const { req, service } = this.#input
    const now = timers.now()
    budget.deposit(service, this.#urgency, now)
    this.#hedge.recordRequest()
    if (req.origin !== 'caller') this.#opts.inbound.recordNestedCall(req.head.requestId, service)
    if (req.origin === 'repeatedRun') budget.recordNestedRetry(service, now)
    this.#isProcessing = true
    this.#endOnError(() => this.#executeAll(this.#flow.next()))
    this.#processEvents()
  }

  /** What the request would meet first if it were started now. Nothing is sent or counted, and the request isn't started. */
  preview (): CallPreview {
    const { route, req } = this.#input
    const candidates = this.#candidates(new Set())
    const flow = callFlow({ route, deadlineAt: this.#deadlineAt, bodyBytes: req.body.length }, { ...this.#context(), candidates: () => candidates })
    return { candidates, standing: this.#standing(), priority: this.#priority, command: (flow.next().value ?? [])[0] }
  }

  /** Cancels the request, as its caller has closed the connection. */
  onCallerLeft (): void {
    if (this.#isDone) return
    this.#handleEvent({ kind: 'callerLeft' })
    this.#end('callerLeft', true, {})
  }

  /** Responds to the caller at once, as the daemon is about to exit. */
  abort (): void {
    if (!this.#isDone) this.#handleEvent({ kind: 'stopping' })
  }

  #context (): CallContext {
    const { timers, loadBalancer: balancer, budget, fleet, random, quarantine } = this.#opts
    const { req, route, service, isCallerRetry } = this.#input
    return {
      now: () => timers.now(),
      candidates: (exclude) => this.#candidates(exclude),
      standing: () => this.#standing(),
      refusedMs: () => this.#refusedMs(),
      crashes: () => quarantine.isEmpty ? 0 : quarantine.crashes(this.#fingerprint()),
      tryWithdrawRetry: () => budget.tryWithdraw(service, this.#urgency, fleet.live().length, timers.now()),
      hedgeDelayMs: (candidate) => this.#hedge.delayMs(candidate, this.#ranked),
      tryWithdrawHedge: (hasFreeTarget) => this.#hedge.tryWithdraw(hasFreeTarget),
      retryAfterMs: () => isRefused(this.#standing())
        ? this.#refusedMs()
        : retryAfterMs({
          targetLatencyMs: route.targetLatencyMs,
          remainingMs: this.#startedAt + req.head.deadlineMs - timers.now(),
          isCallerRetry,
          limitedMs: balancer.limitedMs(service)
        }, random)
    }
  }

  /** Targets that may get the request, best first; for a suspect only the one that all daemons choose for it. */
  #candidates (exclude: ReadonlySet<string>): Candidate[] {
    const { loadBalancer: balancer, sizes } = this.#opts
    const { req, route, workspace, service } = this.#input
    const traits = { route, urgency: this.#urgency, workspace: workspace?.name, requestBytes: req.body.length, responseBytes: sizes.expectedBytes(route.name) }
    const isEligible = (record: HostRecord): boolean => this.#isEligible(record, exclude)
    if (this.#standing() !== 'clear') return balancer.designated(service, traits, isEligible, this.#fingerprint())
    this.#ranked = balancer.rank(service, traits, isEligible, this.#versionChoice?.preferredHost)
    return this.#ranked
  }

  #standing (): Standing {
    const { quarantine } = this.#opts
    const standing = quarantine.isEmpty ? 'clear' : quarantine.standing(this.#fingerprint())
    if (standing !== 'clear' || this.#crashedAt === undefined) return standing
    return this.#refusedMs() > 0 ? 'held' : 'suspect'
  }

  /** Milliseconds until the request may be sent, also while this daemon has not heard of the crash from the one that saw it. */
  #refusedMs (): number {
    const { quarantine, timers } = this.#opts
    const ownMs = this.#crashedAt === undefined ? 0 : this.#crashedAt + FIRST_HOLD_MS - timers.now()
    return Math.max(ownMs, quarantine.isEmpty ? 0 : quarantine.refusedMs(this.#fingerprint()))
  }

  #fingerprint (): string {
    const { req } = this.#input
    this.#cachedFingerprint ??= requestFingerprint({ method: req.method, url: req.url, headers: this.#headers(), body: req.body }, this.#opts.names)
    return this.#cachedFingerprint
  }

  #isEligible (record: HostRecord, exclude: ReadonlySet<string>): boolean {
    return !exclude.has(record.host) && this.#opts.fleet.isUp(record.host) && (this.#versionChoice?.accepts(record) ?? true)
  }

  /** Queues events that arrive while the commands of an earlier one are being executed, such as an immediate reply. */
  #handleEvent (event: CallEvent): void {
    this.#pendingEvents.push(event)
    if (this.#isProcessing) return
    this.#isProcessing = true
    this.#processEvents()
  }

  #processEvents (): void {
    this.#endOnError(() => {
      while (this.#pendingEvents.length > 0) this.#executeAll(this.#flow.next(this.#pendingEvents.shift()!))
    })
    this.#isProcessing = false
  }

  /** Ends the request when a step of it fails unexpectedly: nothing else would answer its caller. */
  #endOnError (step: () => void): void {
    try {
      step()
    } catch (err) {
      this.#pendingEvents.length = 0
      for (const cancel of this.#cancels.values()) cancel()
      this.#cancels.clear()
      const error = (err as Error).stack
      if (this.#isDone) return this.#opts.log.call(false, 'afterEnd', { id: this.#input.req.head.requestId, error })
      const reason = err instanceof NotForwardable ? 'notForwardable' : 'internalError'
      this.#end(502, false, { reason, error })
      this.#input.res.reject(502, reason)
    }
  }

  #executeAll (result: IteratorResult<CallCommand[], void>): void {
    for (const command of result.value ?? []) this.#execute(command)
  }

  #execute (command: CallCommand): void {
    switch (command.kind) {
      case 'offer':
        return this.#offer(command)
      case 'cancel':
        this.#cancels.get(command.attempt)?.()
        this.#cancels.delete(command.attempt)
        return
      case 'timer':
        this.#stopTimer()
        this.#stopTimer = this.#opts.timers.after(command.ms, () => this.#handleEvent({ kind: 'timer' }))
        return
      default:
        return this.#finish(command)
    }
  }

  #finish (command: Extract<CallCommand, { kind: 'respond' | 'reject' | 'fail' }>): void {
    const { res } = this.#input
    switch (command.kind) {
      case 'respond':
        res.respond(command.reply, this.#urgency)
        this.#opts.sizes.record(this.#input.route.name, command.reply.body.length)
        return this.#endAnswered(command.reply)
      case 'reject':
        this.#recordRefusal(command.reason)
        this.#input.onNotRun()
        this.#end(503, false, { reason: command.reason, retryAfterMs: Math.round(command.retryAfterMs), notRun: true, ...this.#quarantineDetails() })
        return res.reject(503, command.reason, command.retryAfterMs)
      case 'fail':
        this.#end(command.status, false, { reason: command.reason, ...this.#quarantineDetails() })
        return res.reject(command.status, command.reason)
    }
  }

  #endAnswered (reply: ForwardedResponse): void {
    const waits = this.#waits(reply)
    this.#opts.traffic.record(this.#input.route.name, waits, reply.body.length)
    this.#end(reply.status, reply.status < 500, { waits: [waits.placing, waits.queue, waits.target, waits.transit] })
  }

  /** Where the time of a request went that ends with this reply, which has just arrived. */
  #waits ({ queuedMs: queue = 0, ranMs: target = 0 }: HopReply): CallWaits {
    const offerMs = this.#opts.timers.now() - this.#repliedOfferAt
    const placing = Math.round(this.#repliedOfferAt - this.#startedAt)
    return { placing, queue, target, transit: Math.max(0, Math.round(offerMs - queue - target)) }
  }

  /** Tells the request that makes this call, if there is one, that it is refused for good. */
  #recordRefusal (reason: string): void {
    const { origin, head } = this.#input.req
    if (origin !== 'caller' && reason === 'quarantined') this.#opts.inbound.recordNestedRefusal(head.requestId)
  }

  /** What leads from the log line of a request to those of the crashes that count against it. */
  #quarantineDetails (): object {
    return this.#standing() === 'clear' ? {} : { request: this.#fingerprint(), standing: this.#standing() }
  }

  #offer (command: Extract<CallCommand, { kind: 'offer' }>): void {
    const { attempt, candidate: { host }, isHedge } = command
    this.#offerCount++
    const message = this.#message(command)
    const offeredAt = this.#opts.timers.now()
    this.#hedge.recordOffer(attempt, isHedge, message.idempotent && message.mode === 'now')
    this.#opts.loadBalancer.recordOffer(host)
    this.#cancels.set(attempt, this.#send(host, message, (reply) => {
      this.#cancels.delete(attempt)
      this.#repliedOfferAt = offeredAt
      if (reply.kind === 'response') this.#hedge.recordResponse(attempt)
      this.#recordReply(host, reply, message.mode)
      if (reply.kind !== 'response' || reply.status >= 500) this.#logAttempt(message, host, reply)
      this.#handleEvent({ kind: 'reply', attempt, reply })
    }, () => this.#handleEvent({ kind: 'answered', attempt })))
  }

  /** Offers a call to the daemon of a host, which may be this one; returns a function that cancels it. */
  #send (host: string, message: CallMessage, reply: (reply: HopReply) => void, onAnswered: () => void): () => void {
    const { fleet, inbound: inboundHandler } = this.#opts
    if (host === fleet.own.host) {
      inboundHandler.offer(message, reply)
      return () => inboundHandler.cancel(message.key)
    }
    const link = fleet.link(host)
    if (link) return link.call(message, this.#input.route.bulky && message.mode !== 'ask', reply, onAnswered)
    reply({ kind: 'notRun', reason: 'unsent' })
    return () => {}
  }

  #message ({ candidate, mode, isRetry }: Extract<CallCommand, { kind: 'offer' }>): CallMessage {
    const { fleet, timers } = this.#opts
    const { req, route, workspace, service, nextKey } = this.#input
    const heardLimitPerS = this.#opts.loadBalancer.heardLimitPerS(candidate.targetId)
    return {
      key: nextKey(),
      requestId: req.head.requestId,
      incarnation: fleet.record(candidate.host)?.incarnation ?? 0,
      mode,
      service,
      targetId: candidate.targetId,
      route: route.name,
      method: req.method,
      url: req.url,
      headers: mode === 'ask' ? [] : this.#headers(),
      body: mode === 'ask' ? NO_BODY : req.body,
      deadlineMs: this.#deadlineAt - timers.now(),
      targetLatencyMs: route.targetLatencyMs,
      priority: this.#priority,
      idempotent: route.idempotent,
      nested: req.origin !== 'caller',
      repeat: isRetry || req.origin === 'repeatedRun',
      suspect: this.#standing() !== 'clear',
      ...heardLimitPerS === undefined ? {} : { heardLimitPerS },
      ...workspace && { workspace: workspace.name }
    }
  }

  #headers (): string[] {
    const { names, callerService } = this.#opts
    const { req: { head: { headers } }, workspace } = this.#input
    const caller = callerService()
    return [
      ...headers,
      ...caller === undefined ? [] : [names.callerService, caller],
      ...workspace ? [names.workspace, headerText(workspace.name)] : []
    ]
  }

  /** Updates the load balancer with what a reply tells of the target and its daemon. */
  #recordReply (host: string, reply: HopReply, mode: OfferMode): void {
    const { loadBalancer: balancer, fleet } = this.#opts
    balancer.recordReply(host, reply.load)
    if (reply.kind === 'response') {
      if (reply.departure) fleet.recordDeparture(host, reply.departure)
      return
    }
    if (isFullReason(reply.reason)) {
      balancer.markBusy(host)
      if (mode === 'queue') balancer.markQueueFull(host, this.#urgency, this.#input.workspace?.name)
      return
    }
    if (reply.reason === 'crashed') this.#crashedAt = this.#opts.timers.now()
    const isUnavailable = reply.kind === 'notRun' ? !AVAILABLE_REASONS.has(reply.reason) : UNREACHABLE_REASONS.has(reply.reason)
    if (isUnavailable) balancer.avoid(host)
  }

  #end (outcome: string | number, isPlain: boolean, details: object): void {
    const { timers, metrics, log, traffic } = this.#opts
    const { req, route, workspace, service, configVersion, onEnd } = this.#input
    this.#isDone = true
    this.#stopTimer()
    const ms = timers.now() - this.#startedAt
    const hedged = this.#hedge.end(outcome)
    if (workspace && outcome !== 'callerLeft') traffic.recordWorkspace(workspace.name, outcome === 503 ? 'rejected' : 'answered')
    metrics.request(route.name, String(outcome), ms)
    log.call(isPlain, 'outbound', {
      id: req.head.requestId, route: route.name, ...workspace && { workspace: workspace.name }, service, config: configVersion, outcome, ms: Math.round(ms), offers: this.#offerCount, ...hedged && { hedged }, ...details
    })
    onEnd()
  }

  #logAttempt (message: CallMessage, peer: string, reply: HopReply): void {
    const isPlain = reply.kind === 'notRun' && (isFullReason(reply.reason) || reply.reason === 'vacant')
    this.#opts.log.call(isPlain, 'attempt', {
      id: message.requestId,
      call: message.key,
      peer,
      target: message.targetId,
      mode: message.mode,
      outcome: reply.kind === 'response' ? reply.status : reply.reason,
      ran: reply.kind !== 'notRun'
    })
  }
}
