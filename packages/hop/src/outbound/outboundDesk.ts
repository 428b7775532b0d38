import type { Cancel, Random, Timers } from '@lentilwheel/core'
import type { Fleet } from '../fleet/fleet.js'
import type { HostRecord } from '../fleet/records.js'
import type { HeaderNames } from '../inbound/targetResult.js'
import type { InboundDesk, RequestOrigin } from '../inbound/inboundDesk.js'
import type { CallMessage, HopReply, OfferMode } from '../link/messages.js'
import type { CallLog } from '../observe/callLog.js'
import type { CallMetrics } from '../observe/callMetrics.js'
import type { MeshRoute } from '../routing/meshConfig.js'
import { RouteTable } from '../routing/routeTable.js'
import { Splitter } from '../routing/splitter.js'
import { callFlow, type CallCommand, type CallEvent, type CallView } from './callFlow.js'
import { NESTED_URGENCY, type Placer } from './placer.js'
import type { OutboundHead } from './requestHead.js'
import type { VersionChoice } from '../rollout/versionRules.js'
import type { RetryBudget } from './retryBudget.js'

/** A caller's request, read whole. */
export interface OutboundRequest {
  method: string
  url: string
  head: OutboundHead
  body: Uint8Array
  origin: RequestOrigin
}

/** The caller's side of a request; one of these is called, once. */
export interface Responder {
  answer (reply: Extract<HopReply, { kind: 'response' }>): void
  refuse (status: number, reason: string, retryAfterMs?: number): void
}

/** Which versions of a service may get a request. */
export interface VersionChooser {
  /** Chooses for one request; undefined when all versions may get it. */
  choose (service: string): VersionChoice | undefined
}

export interface OutboundOptions {
  timers: Timers
  random: Random
  log: CallLog
  metrics: CallMetrics
  names: HeaderNames
  fleet: Fleet
  desk: InboundDesk
  placer: Placer
  budget: RetryBudget
  versions: VersionChooser
  /** Service on this host; undefined when it has none. */
  callerService (): string | undefined
}

/** Caller's wait after a refusal: this, and up to as much again at random, so that callers don't come back together. */
const RETRY_AFTER_MS = 200
/** Time assumed for a request whose caller and route set none. */
const MAX_DEADLINE_MS = 60_000

/** Carries callers' requests to targets: routes them and runs the flow of each. */
export class OutboundDesk {
  readonly #opts: OutboundOptions
  readonly #splitter: Splitter
  #table: RouteTable | undefined
  #calls = 0
  #active = 0

  constructor (opts: OutboundOptions) {
    this.#opts = opts
    this.#splitter = new Splitter(opts.random)
  }

  get active (): number {
    return this.#active
  }

  get table (): RouteTable | undefined {
    return this.#table
  }

  setTable (table: RouteTable): void {
    this.#table = table
    this.#splitter.retain(new Set(table.config.routes.map((route) => route.name)))
  }

  /** Handles one request; returns what to call when the caller leaves. */
  handle (req: OutboundRequest, res: Responder): () => void {
    const { head } = req
    if (!this.#table) {
      this.#refuse(req, res, 503, 'noConfiguration', this.#retryAfterMs())
      return () => {}
    }
    const route = this.#table.match(head.host, head.path)
    if (!route) {
      this.#refuse(req, res, 404, 'noRoute')
      return () => {}
    }
    return this.#run(req, res, route)
  }

  #run (req: OutboundRequest, res: Responder, route: MeshRoute): () => void {
    const { timers, budget, fleet, log, metrics } = this.#opts
    const startedAt = timers.now()
    const deadlineAt = startedAt + Math.min(req.head.deadlineMs, route.timeoutMs, MAX_DEADLINE_MS)
    const service = this.#splitter.next(route)
    budget.request(service, startedAt)
    if (req.origin === 'repeatedRun') budget.repeated(service, startedAt)
    const nested = req.origin !== 'caller'
    const choice = this.#opts.versions.choose(service)
    const urgency = nested ? NESTED_URGENCY : route.priority
    const view: CallView = {
      now: () => timers.now(),
      candidates: (exclude) => this.#opts.placer.order(service, route, urgency, this.#acceptor(choice, exclude), choice?.preferred),
      takeRepeat: () => budget.tryTake(service, fleet.live().length, timers.now()),
      retryAfterMs: () => this.#retryAfterMs()
    }
    const flow = callFlow({ route, deadlineAt }, view)
    const withdrawals = new Map<number, () => void>()
    let stopTimer: Cancel = () => {}
    let offers = 0
    this.#active++
    const end = (outcome: string | number, isPlain: boolean, details: object): void => {
      this.#active--
      stopTimer()
      const ms = timers.now() - startedAt
      metrics.request(route.name, String(outcome), ms)
      log.call(isPlain, 'outbound', {
        id: req.head.requestId, route: route.name, service, config: this.#table!.config.version, outcome, ms: Math.round(ms), offers, ...details
      })
    }
    const obey = (command: CallCommand): void => {
      switch (command.kind) {
        case 'offer': {
          offers++
          const message = this.#message(req, route, service, command, deadlineAt)
          const { host } = command.candidate
          this.#opts.placer.offered(host)
          withdrawals.set(command.attempt, this.#send(host, message, route.bulky, (reply) => {
            withdrawals.delete(command.attempt)
            this.#learn(host, reply, message.mode, urgency)
            if (reply.kind !== 'response' || reply.status >= 500) this.#logAttempt(req, message, host, reply)
            step({ kind: 'reply', attempt: command.attempt, reply })
          }))
          return
        }
        case 'cancel': {
          withdrawals.get(command.attempt)?.()
          withdrawals.delete(command.attempt)
          return
        }
        case 'timer':
          stopTimer()
          stopTimer = timers.after(command.ms, () => step({ kind: 'timer' }))
          return
        case 'answer':
          end(command.reply.status, command.reply.status < 500, {})
          return res.answer(command.reply)
        case 'refuse':
          end(503, false, { reason: command.reason, retryAfterMs: Math.round(command.retryAfterMs), notRun: true })
          return res.refuse(503, command.reason, command.retryAfterMs)
        case 'fail':
          end(command.status, false, { reason: command.reason })
          return res.refuse(command.status, command.reason)
      }
    }
    let isStepping = false
    const waiting: CallEvent[] = []
    /** A reply may come while the commands of an earlier event are carried out; it waits for its turn. */
    const step = (event: CallEvent): void => {
      waiting.push(event)
      if (isStepping) return
      isStepping = true
      while (waiting.length > 0) run(flow.next(waiting.shift()!))
      isStepping = false
    }
    const run = (result: IteratorResult<CallCommand[], void>): void => {
      for (const command of result.value ?? []) obey(command)
    }
    isStepping = true
    run(flow.next())
    while (waiting.length > 0) run(flow.next(waiting.shift()!))
    isStepping = false
    return () => {
      step({ kind: 'callerLeft' })
      end('callerLeft', true, {})
    }
  }

  #send (host: string, message: CallMessage, bulky: boolean, reply: (reply: HopReply) => void): () => void {
    const { fleet, desk } = this.#opts
    if (host === fleet.own.host) {
      desk.offer(message, reply)
      return () => desk.cancel(message.key)
    }
    const link = fleet.link(host)
    if (link) return link.call(message, bulky, reply)
    reply({ kind: 'notRun', reason: 'unsent' })
    return () => {}
  }

  #message (
    req: OutboundRequest, route: MeshRoute, service: string, offer: Extract<CallCommand, { kind: 'offer' }>, deadlineAt: number
  ): CallMessage {
    const { fleet, names, callerService } = this.#opts
    const { candidate, mode, repeat } = offer
    const caller = callerService()
    const headers = caller === undefined ? req.head.headers : [...req.head.headers, names.callerService, caller]
    return {
      key: `${fleet.own.host}/${fleet.own.incarnation}/${++this.#calls}`,
      requestId: req.head.requestId,
      incarnation: fleet.record(candidate.host)?.incarnation ?? 0,
      mode,
      service,
      targetId: candidate.targetId,
      route: route.name,
      method: req.method,
      url: req.url,
      headers,
      body: req.body,
      deadlineMs: deadlineAt - this.#opts.timers.now(),
      targetLatencyMs: route.targetLatencyMs,
      priority: route.priority,
      idempotent: route.idempotent,
      nested: req.origin !== 'caller',
      repeat
    }
  }

  #acceptor (choice: VersionChoice | undefined, exclude: ReadonlySet<string>): (record: HostRecord) => boolean {
    const { fleet } = this.#opts
    return (record) => !exclude.has(record.host) && fleet.isUp(record.host) && (choice?.accepts(record) ?? true)
  }

  #learn (host: string, reply: HopReply, mode: OfferMode, urgency: number): void {
    const { placer } = this.#opts
    placer.ended(host, reply.load)
    if (reply.kind === 'notRun' && reply.reason === 'busy') {
      placer.busy(host)
      if (mode === 'queue') placer.full(host, urgency)
    }
    const isAway = (reply.kind === 'notRun' && reply.reason !== 'busy' && reply.reason !== 'shed') ||
      (reply.kind === 'failed' && (reply.reason === 'lost' || reply.reason === 'timeout'))
    if (isAway) placer.avoid(host)
  }

  #logAttempt (req: OutboundRequest, message: CallMessage, host: string, reply: HopReply): void {
    const isBusy = reply.kind === 'notRun' && reply.reason === 'busy'
    this.#opts.log.call(isBusy, 'attempt', {
      id: req.head.requestId,
      call: message.key,
      peer: host,
      target: message.targetId,
      mode: message.mode,
      outcome: reply.kind === 'response' ? reply.status : reply.reason,
      ran: reply.kind !== 'notRun'
    })
  }

  #refuse (req: OutboundRequest, res: Responder, status: number, reason: string, retryAfterMs?: number): void {
    this.#opts.metrics.request('', String(status), 0)
    this.#opts.log.call(status === 404, 'outbound', {
      id: req.head.requestId, outcome: status, reason, authority: req.head.host, config: this.#table?.config.version ?? 0
    })
    res.refuse(status, reason, retryAfterMs)
  }

  #retryAfterMs (): number {
    return RETRY_AFTER_MS * (1 + this.#opts.random.next())
  }
}
