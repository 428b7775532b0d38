import type { Random, Timers } from '@lentilwheel/core'
import type { CallMessage, HopReply, NotRunReason, TargetLoad } from '../link/messages.js'
import type { CallLog } from '../observe/callLog.js'
import type { TargetRecord } from '../fleet/records.js'
import type { VersionResult } from '../rollout/evidence.js'
import { Admission, type Ticket } from './admission.js'
import { Ledger } from './ledger.js'
import type { TargetClient } from './nodeTargetClient.js'
import { requestBytes } from './requestBytes.js'
import { TargetRuns, type RequestOrigin } from './targetRuns.js'
import type { HeaderNames, TargetResult } from './targetResult.js'

export interface InboundOptions {
  timers: Timers
  random: Random
  log: CallLog
  names: HeaderNames
  client: TargetClient
  /** The target as it stands now; undefined when there is none. */
  target (): TargetRecord | undefined
  /** Whether an announcement of the target is missing. */
  isOverdue (): boolean
  incarnation (): number
  /** Whether the target's version may get traffic. */
  isVersionOpen (service: string, version: string): boolean
  /** Part of the requests more urgent than `priority` that a service turns away at present, as far as is known here. */
  pressure (service: string, priority: number): number
  /** A target's version got a result; used to judge versions. */
  onResult (target: TargetRecord, result: VersionResult): void
}

interface Call {
  message: CallMessage
  ticket: Ticket
  state: 'queued' | 'running'
  startedAt: number
  giveUp?: () => void
}

/** Time after the deadline in which the target's own answer to it may still come. */
const DEADLINE_GRACE_MS = 60
/** Time for which a repeatable call goes on after its connection broke, waiting to be settled. */
const ORPHAN_MS = 1_500
const UPKEEP_MS = 50
const LEDGER_UPKEEP_MS = 1_000
const FAILING_SMOOTHING = 0.08
/** A part of the requests whose calls press on others still runs, so that it is seen when they no longer do. */
const MAX_DISPLACING = 0.9

/**
 * The only way to the target beside this daemon. It knows whether the target is there and takes work, gives out its
 * slots, and can say of each call whether it was started.
 */
export class InboundDesk {
  readonly #opts: InboundOptions
  readonly #admission = new Admission()
  readonly #ledger = new Ledger()
  readonly #calls = new Map<string, Call>()
  readonly #runs = new TargetRuns()
  #targetId = ''
  #failing = 0
  #unreachableAt = -Infinity
  /** When the first request was started after the target's last answer. */
  #unansweredSince: number | undefined

  constructor (opts: InboundOptions) {
    this.#opts = opts
    opts.timers.every(UPKEEP_MS, () => this.#upkeep())
    opts.timers.every(LEDGER_UPKEEP_MS, () => this.#ledger.prune(opts.timers.now()))
  }

  /** Calls that have not ended. */
  get active (): number {
    return this.#calls.size
  }

  /** Tells who made a request, from its id. */
  originOf (requestId: string): RequestOrigin {
    return this.#runs.originOf(requestId)
  }

  /** A request that the target runs calls a service. */
  called (requestId: string, service: string): void {
    this.#runs.called(requestId, service)
  }

  /** Takes an offered call; `reply` is called once. */
  offer (message: CallMessage, reply: (reply: HopReply) => void): void {
    const { key } = message
    if (!this.#ledger.open(key, reply)) return reply({ kind: 'notRun', reason: 'revoked' })
    const refusal = this.#refusalOf(message)
    if (refusal) return this.#endNotRun(message, refusal)
    const pressed = message.nested ? undefined : this.#displaced(message)
    if (pressed) return this.#endNotRun(message, 'displacing', pressed)
    if (message.mode === 'ask') return this.#endNotRun(message, this.#admission.hasFreeSlot ? 'vacant' : 'busy')
    const now = this.#opts.timers.now()
    const ticket: Ticket = {
      key,
      nested: message.nested,
      priority: message.priority,
      targetLatencyMs: message.targetLatencyMs,
      deadlineAt: now + message.deadlineMs,
      arrivedAt: now
    }
    const admitted = this.#admission.offer(ticket, message.mode === 'queue', now)
    if (admitted === 'busy') return this.#endNotRun(message, 'busy')
    const call: Call = { message, ticket, state: 'queued', startedAt: now }
    this.#calls.set(key, call)
    if (admitted === 'start') this.#start(call)
  }

  /** The sender no longer wants the call. */
  cancel (key: string): void {
    const call = this.#calls.get(key)
    if (!call) return
    if (call.state === 'queued') return this.#withdraw(call, 'revoked')
    if (call.message.idempotent) call.giveUp?.()
  }

  /** The connection on which the call came broke; the sender may ask for it again. */
  orphan (key: string): void {
    this.#ledger.detach(key)
    const call = this.#calls.get(key)
    if (!call) return
    this.#opts.timers.after(ORPHAN_MS, () => {
      if (!this.#ledger.isAwaited(key)) this.cancel(key)
    })
  }

  /** Answers a sender that lost the connection of its call. */
  settle (key: string, incarnation: number, reply: (reply: HopReply) => void): void {
    if (incarnation !== this.#opts.incarnation()) return reply({ kind: 'failed', reason: 'lost' })
    const call = this.#calls.get(key)
    const settlement = this.#ledger.settle(key, reply, this.#opts.timers.now())
    this.#opts.log.decision('settled', { call: key, settlement })
    if (call?.state === 'queued') this.#withdraw(call, 'revoked')
  }

  /** The target changed: what waits for one that no longer takes work is handed back. */
  targetChanged (): void {
    const target = this.#opts.target()
    if (target && target.id !== this.#targetId) {
      this.#targetId = target.id
      this.#admission.reset(target.slots)
      this.#failing = 0
      this.#unreachableAt = -Infinity
      this.#opts.client.reset()
    }
    if (target?.state === 'ready') return
    for (const ticket of this.#admission.takeAll()) {
      const call = this.#calls.get(ticket.key)
      if (call) this.#endCallNotRun(call, target ? 'draining' : 'noTarget')
    }
  }

  /** Load of the target, for the daemons that choose among targets. */
  load (): TargetLoad | undefined {
    const target = this.#opts.target()
    if (!target) return undefined
    const { running, queued, slots, pace } = this.#admission
    const pressure = this.#admission.pressure(this.#opts.timers.now())
    const pressed = pressure ? { pressedPriority: pressure.priority, pressedShare: pressure.share } : {}
    return { targetId: target.id, running, queued, slots, pace, failing: this.#failing, ...pressed }
  }

  /**
   * The service in which the calls of a request would take the place of more urgent requests. Calls of running requests
   * go first there, so the only place to hold them back is before their request runs.
   */
  #displaced ({ route, priority }: CallMessage): { service: string, share: number } | undefined {
    for (const service of this.#runs.needs(route)) {
      const share = this.#opts.pressure(service, priority)
      if (share > 0 && this.#opts.random.next() < Math.min(MAX_DISPLACING, share)) return { service, share }
    }
    return undefined
  }

  #refusalOf (message: CallMessage): NotRunReason | undefined {
    const target = this.#opts.target()
    if (message.incarnation !== this.#opts.incarnation()) return 'unsent'
    if (!target) return 'noTarget'
    if (target.id !== message.targetId || target.service !== message.service) return 'otherTarget'
    if (target.state !== 'ready') return 'draining'
    if (!this.#opts.isVersionOpen(target.service, target.version)) return 'draining'
    if (this.#opts.timers.now() - this.#unreachableAt < UNREACHABLE_MS || this.#isSilent()) return 'unreachable'
    return undefined
  }

  /** A target that neither answers nor announces itself gets no more requests; it may be off without its connections showing it. */
  #isSilent (): boolean {
    return this.#unansweredSince !== undefined && this.#opts.timers.now() - this.#unansweredSince > SILENT_MS && this.#opts.isOverdue()
  }

  #start (call: Call): void {
    const { message, ticket } = call
    const now = this.#opts.timers.now()
    const leftMs = ticket.deadlineAt - now
    if (leftMs <= 0) {
      this.#admission.finish(ticket, 0, now)
      return this.#endCallNotRun(call, 'expired')
    }
    call.state = 'running'
    this.#unansweredSince ??= now
    this.#runs.started(message.requestId, { route: message.route, repeat: message.repeat })
    call.startedAt = now
    const bytes = requestBytes(message, leftMs, this.#opts.names)
    const request = { requestId: message.requestId, method: message.method, bytes, timeoutMs: leftMs + DEADLINE_GRACE_MS }
    call.giveUp = this.#opts.client.send(request, message.idempotent, (result) => this.#onResult(call, result))
  }

  #onResult (call: Call, result: TargetResult): void {
    const now = this.#opts.timers.now()
    const ms = now - call.startedAt
    this.#admission.finish(call.ticket, ms, now)
    this.#calls.delete(call.message.key)
    this.#runs.ended(call.message.requestId)
    this.#learn(call, result, ms)
    const { reported: _, ...reply } = result as TargetResult & { reported?: unknown }
    this.#end(call.message, reply as HopReply)
    this.#logEnd(call, result, ms)
    this.#startNext()
  }

  #learn (call: Call, result: TargetResult, ms: number): void {
    if (result.kind !== 'failed' || this.#calls.size === 0) this.#unansweredSince = undefined
    if (result.kind === 'failed' && result.reason === 'cancelled') return
    const isGood = result.kind === 'response' && result.status < 500
    if (isGood) this.#admission.observe(ms, call.message.targetLatencyMs)
    this.#failing += FAILING_SMOOTHING * ((isGood ? 0 : 1) - this.#failing)
    if (result.kind === 'notRun' && result.reason === 'unreachable') this.#unreachableAt = this.#opts.timers.now()
    const target = this.#opts.target()
    if (target?.id === call.message.targetId && result.kind !== 'notRun') {
      const { route, targetLatencyMs } = call.message
      this.#opts.onResult(target, { route, ok: isGood, ms, targetLatencyMs })
    }
  }

  #logEnd (call: Call, result: TargetResult, ms: number): void {
    const outcome = result.kind === 'response' ? result.status : result.reason
    const isPlain = result.kind === 'response' && result.status < 500
    this.#log(call.message, isPlain, outcome, { ms: Math.round(ms), queuedMs: Math.round(call.startedAt - call.ticket.arrivedAt) })
  }

  #log (message: CallMessage, isPlain: boolean, outcome: number | string, details: object = {}): void {
    const { requestId: id, key: call, route, targetId: target } = message
    const { running, queued } = this.#admission
    this.#opts.log.call(isPlain, 'inbound', { id, call, route, target, outcome, ...details, running, queued })
  }

  #withdraw (call: Call, reason: NotRunReason): void {
    this.#admission.withdraw(call.message.key)
    this.#endCallNotRun(call, reason)
  }

  #endCallNotRun (call: Call, reason: NotRunReason): void {
    this.#calls.delete(call.message.key)
    this.#endNotRun(call.message, reason)
  }

  #endNotRun (message: CallMessage, reason: NotRunReason, details: object = {}): void {
    this.#end(message, { kind: 'notRun', reason })
    this.#log(message, message.mode !== 'queue' && (reason === 'busy' || reason === 'vacant'), reason, details)
  }

  /** Hands a reply out, with the load of the target as it is now. */
  #end (message: CallMessage, reply: HopReply): void {
    const load = this.load()
    this.#ledger.end(message.key, load ? { ...reply, load } : reply, this.#opts.timers.now())
  }

  #upkeep (): void {
    if (this.#admission.queued === 0) return
    for (const ticket of this.#admission.takeHopeless(this.#opts.timers.now())) {
      const call = this.#calls.get(ticket.key)
      if (call) this.#endCallNotRun(call, 'busy')
    }
    this.#startNext()
  }

  #startNext (): void {
    const now = this.#opts.timers.now()
    for (const ticket of this.#admission.takeReady(now)) {
      const call = this.#calls.get(ticket.key)
      if (call) this.#start(call)
      else this.#admission.finish(ticket, 0, now)
    }
  }
}

/** Time for which a target that refused a connection is left alone. */
const UNREACHABLE_MS = 300
/** Time without any answer after which a target whose announcement is missing counts as silent. */
const SILENT_MS = 800
