import type { Cancel } from '@lentilwheel/core'
import type { HostRecord } from '../fleet/records.js'
import { NESTED_URGENCY } from '../inbound/admission.js'
import type { CallMessage, HopReply, NotRunReason, OfferMode } from '../link/messages.js'
import type { MeshRoute } from '../routing/meshConfig.js'
import type { VersionChoice } from '../rollout/versionRules.js'
import { callFlow, type CallCommand, type CallEvent, type CallView } from './callFlow.js'
import type { OutboundOptions, OutboundRequest, Responder } from './outboundTypes.js'
import { retryAfterMs } from './retryAfter.js'

/** Time assumed for a request whose caller and route set none. */
const MAX_DEADLINE_MS = 60_000
const NO_BODY = new Uint8Array()
/** Refusals of a daemon that can be reached and whose target takes work. */
const NOT_AWAY: ReadonlySet<NotRunReason> = new Set(['shed', 'displacing', 'vacant'] as const)

export interface OutboundCallInput {
  req: OutboundRequest
  res: Responder
  route: MeshRoute
  service: string
  /** Version of the configuration that the route belongs to. */
  configVersion: number
  /** Whether the caller seems to have been refused before. */
  isAgain: boolean
  /** Makes the keys of offers. */
  nextKey (): string
  onEnd (): void
}

/** Drives the flow of one request: carries out its commands and feeds it what happens. */
export class OutboundCall {
  readonly #opts: OutboundOptions
  readonly #input: OutboundCallInput
  readonly #startedAt: number
  readonly #deadlineAt: number
  readonly #urgency: number
  readonly #choice: VersionChoice | undefined
  readonly #flow: Generator<CallCommand[], void, CallEvent>
  readonly #withdrawals = new Map<number, () => void>()
  readonly #events: CallEvent[] = []
  #stopTimer: Cancel = () => {}
  #isStepping = false
  #isOver = false
  #offers = 0

  constructor (opts: OutboundOptions, input: OutboundCallInput) {
    const { req, route, service } = input
    this.#opts = opts
    this.#input = input
    this.#startedAt = opts.timers.now()
    this.#deadlineAt = this.#startedAt + Math.min(req.head.deadlineMs, route.timeoutMs, MAX_DEADLINE_MS)
    this.#urgency = req.origin === 'caller' ? route.priority : NESTED_URGENCY
    this.#choice = opts.versions.choose(service)
    this.#flow = callFlow({ route, deadlineAt: this.#deadlineAt, bodyBytes: req.body.length }, this.#view())
  }

  start (): void {
    const { budget } = this.#opts
    const { req, service } = this.#input
    budget.request(service, this.#startedAt)
    if (req.origin !== 'caller') this.#opts.desk.called(req.head.requestId, service)
    if (req.origin === 'repeatedRun') budget.repeated(service, this.#startedAt)
    this.#isStepping = true
    this.#obeyAll(this.#flow.next())
    this.#drain()
  }

  /** The caller left; nobody waits for an answer any more. */
  leave (): void {
    if (this.#isOver) return
    this.#step({ kind: 'callerLeft' })
    this.#end('callerLeft', true, {})
  }

  /** Answers the caller at once, as the daemon is about to end. */
  giveUp (): void {
    if (!this.#isOver) this.#step({ kind: 'stopping' })
  }

  #view (): CallView {
    const { timers, placer, budget, fleet, random, sizes } = this.#opts
    const { req, route, service, isAgain } = this.#input
    return {
      now: () => timers.now(),
      candidates: (exclude) => placer.order(service, { route, urgency: this.#urgency, bytes: req.body.length + sizes.expected(route.name) }, (record) => this.#accepts(record, exclude), this.#choice?.preferred),
      takeRepeat: () => budget.tryTake(service, fleet.live().length, timers.now()),
      retryAfterMs: () => retryAfterMs({ targetLatencyMs: route.targetLatencyMs, leftMs: this.#startedAt + req.head.deadlineMs - timers.now(), isAgain }, random)
    }
  }

  #accepts (record: HostRecord, exclude: ReadonlySet<string>): boolean {
    return !exclude.has(record.host) && this.#opts.fleet.isUp(record.host) && (this.#choice?.accepts(record) ?? true)
  }

  /** A reply may come while the commands of an earlier event are carried out; it waits for its turn. */
  #step (event: CallEvent): void {
    this.#events.push(event)
    if (this.#isStepping) return
    this.#isStepping = true
    this.#drain()
  }

  #drain (): void {
    while (this.#events.length > 0) this.#obeyAll(this.#flow.next(this.#events.shift()!))
    this.#isStepping = false
  }

  #obeyAll (result: IteratorResult<CallCommand[], void>): void {
    for (const command of result.value ?? []) this.#obey(command)
  }

  #obey (command: CallCommand): void {
    switch (command.kind) {
      case 'offer':
        return this.#offer(command)
      case 'cancel':
        this.#withdrawals.get(command.attempt)?.()
        this.#withdrawals.delete(command.attempt)
        return
      case 'timer':
        this.#stopTimer()
        this.#stopTimer = this.#opts.timers.after(command.ms, () => this.#step({ kind: 'timer' }))
        return
      default:
        return this.#finish(command)
    }
  }

  #finish (command: Extract<CallCommand, { kind: 'answer' | 'refuse' | 'fail' }>): void {
    const { res } = this.#input
    switch (command.kind) {
      case 'answer':
        this.#opts.sizes.seen(this.#input.route.name, command.reply.body.length)
        this.#end(command.reply.status, command.reply.status < 500, {})
        return res.answer(command.reply)
      case 'refuse':
        this.#end(503, false, { reason: command.reason, retryAfterMs: Math.round(command.retryAfterMs), notRun: true })
        return res.refuse(503, command.reason, command.retryAfterMs)
      case 'fail':
        this.#end(command.status, false, { reason: command.reason })
        return res.refuse(command.status, command.reason)
    }
  }

  #offer (command: Extract<CallCommand, { kind: 'offer' }>): void {
    const { attempt, candidate: { host } } = command
    this.#offers++
    const message = this.#message(command)
    this.#opts.placer.offered(host)
    this.#withdrawals.set(attempt, this.#send(host, message, (reply) => {
      this.#withdrawals.delete(attempt)
      this.#learn(host, reply, message.mode)
      if (reply.kind !== 'response' || reply.status >= 500) this.#logAttempt(message, host, reply)
      this.#step({ kind: 'reply', attempt, reply })
    }))
  }

  #send (host: string, message: CallMessage, reply: (reply: HopReply) => void): () => void {
    const { fleet, desk } = this.#opts
    if (host === fleet.own.host) {
      desk.offer(message, reply)
      return () => desk.cancel(message.key)
    }
    const link = fleet.link(host)
    if (link) return link.call(message, this.#input.route.bulky && message.mode !== 'ask', reply)
    reply({ kind: 'notRun', reason: 'unsent' })
    return () => {}
  }

  #message ({ candidate, mode, repeat }: Extract<CallCommand, { kind: 'offer' }>): CallMessage {
    const { fleet, timers } = this.#opts
    const { req, route, service, nextKey } = this.#input
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
      priority: route.priority,
      idempotent: route.idempotent,
      nested: req.origin !== 'caller',
      repeat: repeat || req.origin === 'repeatedRun'
    }
  }

  #headers (): string[] {
    const { names, callerService } = this.#opts
    const { headers } = this.#input.req.head
    const caller = callerService()
    return caller === undefined ? headers : [...headers, names.callerService, caller]
  }

  /** Remembers what a reply says of the target and of its daemon. */
  #learn (host: string, reply: HopReply, mode: OfferMode): void {
    const { placer } = this.#opts
    placer.ended(host, reply.load)
    if (reply.kind === 'response') return
    if (reply.kind === 'notRun' && reply.reason === 'busy') {
      placer.busy(host)
      if (mode === 'queue') placer.full(host, this.#urgency)
      return
    }
    const isAway = reply.kind === 'notRun' ? !NOT_AWAY.has(reply.reason) : reply.reason === 'lost' || reply.reason === 'timeout'
    if (isAway) placer.avoid(host)
  }

  #end (outcome: string | number, isPlain: boolean, details: object): void {
    const { timers, metrics, log } = this.#opts
    const { req, route, service, configVersion, onEnd } = this.#input
    this.#isOver = true
    this.#stopTimer()
    const ms = timers.now() - this.#startedAt
    metrics.request(route.name, String(outcome), ms)
    log.call(isPlain, 'outbound', {
      id: req.head.requestId, route: route.name, service, config: configVersion, outcome, ms: Math.round(ms), offers: this.#offers, ...details
    })
    onEnd()
  }

  #logAttempt (message: CallMessage, peer: string, reply: HopReply): void {
    const isPlain = reply.kind === 'notRun' && (reply.reason === 'busy' || reply.reason === 'vacant')
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
