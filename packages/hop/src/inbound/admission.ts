import { SlotUse } from './slotUse.js'
import { TurnedAway, type Pressure } from './turnedAway.js'

/** A request that asks for a slot of the target. */
export interface Ticket {
  readonly key: string
  /** Whether a request that already holds a slot somewhere waits for this one. */
  readonly nested: boolean
  readonly priority: number
  readonly targetLatencyMs: number
  readonly deadlineAt: number
  readonly arrivedAt: number
}

/** Urgency of calls that a running request waits for; priorities of routes start at 0. */
export const NESTED_URGENCY = -1

export type Admitted = 'start' | 'queued' | 'busy'

/** Milliseconds assumed for a request before the target has answered any. */
const UNKNOWN_SERVICE_MS = 200
/** Part of the target latency assumed for a request before the target has answered any. */
const UNKNOWN_PACE = 0.4
/** Weight of a new observation in the moving averages. */
const SMOOTHING = 0.1
/** A single slow request says little about the pace, so observations are cut at this part of the target latency. */
const MAX_PACE_OBSERVED = 4

/**
 * Decides which requests get the slots of one target. Requests never reach the target beyond its slots, so the order
 * of those that wait is decided here: calls of running requests first, then by priority, then by arrival. It answers
 * loads above the capacity of a service: a request that can no longer be served in its target latency is refused while
 * it can still be served elsewhere or later.
 */
export class Admission {
  #slots = 1
  #running = 0
  #queue: Ticket[] = []
  #serviceMs = UNKNOWN_SERVICE_MS
  #pace = UNKNOWN_PACE
  /** Time for which requests of each priority last were allowed to wait. */
  readonly #patience = new Map<number, number>()
  readonly #turnedAway = new TurnedAway()
  readonly #use = new SlotUse()
  /** How many times longer than estimated requests waited of late; see #delayAt. */
  #delay = { factor: 1, at: 0 }

  get running (): number {
    return this.#running
  }

  get queued (): number {
    return this.#queue.length
  }

  get slots (): number {
    return this.#slots
  }

  get pace (): number {
    return this.#pace
  }

  get hasFreeSlot (): boolean {
    return this.#running < this.#slots && this.#queue.length === 0
  }

  /** Starts over with a new target, of which nothing is known. */
  reset (slots: number): void {
    this.#slots = Math.max(1, slots)
    this.#serviceMs = UNKNOWN_SERVICE_MS
    this.#pace = UNKNOWN_PACE
    this.#turnedAway.clear()
  }

  /** The most urgent requests that are turned away at present; undefined when none are. */
  pressure (now: number): Pressure | undefined {
    return this.#turnedAway.worst(now)
  }

  /** Asks for a slot; `mayWait` lets the request join the queue if all are taken. */
  offer (ticket: Ticket, mayWait: boolean, now: number): Admitted {
    const isFree = this.hasFreeSlot
    if (!ticket.nested && (isFree || mayWait)) this.#turnedAway.asked(ticket.priority, now)
    if (isFree) {
      this.#running++
      return 'start'
    }
    if (mayWait && this.#fits(ticket, now)) {
      this.#insert(ticket)
      return 'queued'
    }
    if (!ticket.nested && mayWait) this.#turnedAway.away(ticket.priority, now)
    return 'busy'
  }

  /** Frees the slot that a request had for some time. */
  finish (ticket: Ticket, ms: number, now: number): void {
    this.#running = Math.max(0, this.#running - 1)
    this.#use.add(urgencyOf(ticket), ms, now)
  }

  /** Counts a request that the target answered. */
  observe (ms: number, targetLatencyMs: number): void {
    const pace = Math.min(MAX_PACE_OBSERVED, ms / Math.max(1, targetLatencyMs))
    this.#pace += SMOOTHING * (pace - this.#pace)
    this.#serviceMs += SMOOTHING * (ms - this.#serviceMs)
  }

  /** Takes a waiting request out; false if it doesn't wait. */
  withdraw (key: string): boolean {
    const index = this.#queue.findIndex((ticket) => ticket.key === key)
    if (index >= 0) this.#queue.splice(index, 1)
    return index >= 0
  }

  /** Requests that can no longer be served in time, taken out of the queue. */
  takeHopeless (now: number): Ticket[] {
    const hopeless = this.#queue.filter((ticket) => !this.#isWorthwhile(ticket, now))
    if (hopeless.length > 0) this.#queue = this.#queue.filter((ticket) => !hopeless.includes(ticket))
    for (const { nested, priority } of hopeless) {
      if (nested) continue
      this.#turnedAway.away(priority, now)
      this.#setDelay(Math.min(MAX_DELAY, this.#delayAt(now) * DELAY_RISE), now)
    }
    return hopeless
  }

  /** Requests that start now, one for each free slot. */
  takeReady (now: number): Ticket[] {
    const ready: Ticket[] = []
    while (this.#running < this.#slots && this.#queue.length > 0) {
      const ticket = this.#queue.shift()!
      if (!ticket.nested) this.#setDelay(Math.max(1, this.#delayAt(now) * DELAY_FALL), now)
      ready.push(ticket)
      this.#running++
    }
    return ready
  }

  /** Empties the queue, for a target that is leaving. */
  takeAll (): Ticket[] {
    const all = this.#queue
    this.#queue = []
    return all
  }

  /** Without news the factor fades, as a queue that takes nobody in tells nothing. */
  #delayAt (now: number): number {
    return 1 + (this.#delay.factor - 1) * 0.5 ** ((now - this.#delay.at) / DELAY_HALF_LIFE_MS)
  }

  #setDelay (factor: number, now: number): void {
    this.#delay = { factor, at: now }
  }

  /** Whether a request that would wait behind the more urgent ones would still be served in time. */
  #fits (ticket: Ticket, now: number): boolean {
    let ahead = 0
    for (const other of this.#queue) if (!isMoreUrgent(ticket, other)) ahead++
    const overtaken = this.#use.before(urgencyOf(ticket), now) / this.#slots
    const waitMs = (ahead + 1) * this.#serviceMs / this.#slots / Math.max(MIN_LEFT, 1 - overtaken) * (ticket.nested ? 1 : this.#delayAt(now))
    return now + waitMs <= this.#lastUsefulStart(ticket)
  }

  #isWorthwhile (ticket: Ticket, now: number): boolean {
    return now <= this.#lastUsefulStart(ticket)
  }

  /**
   * A request should end within its target latency even if it takes longer than most. A nested call is worth its wait
   * until its deadline, as the work of its parent is lost without it.
   */
  #lastUsefulStart (ticket: Ticket): number {
    const { targetLatencyMs, arrivedAt, deadlineAt, nested } = ticket
    const expectedMs = this.#pace * targetLatencyMs
    const lastStart = deadlineAt - expectedMs
    if (nested) return lastStart
    return Math.min(lastStart, arrivedAt + this.#patienceMs(ticket))
  }

  /** No request may be more patient than a more urgent one, or it would be served where that one is refused. */
  #patienceMs ({ targetLatencyMs, priority }: Ticket): number {
    const expectedMs = this.#pace * targetLatencyMs
    const own = Math.max(MIN_PATIENCE * targetLatencyMs, USED_LATENCY * targetLatencyMs - SLOW_REQUEST * expectedMs)
    this.#patience.set(priority, own)
    let longest = own
    for (const [other, ms] of this.#patience) if (other > priority && ms > longest) longest = ms
    return longest
  }

  #insert (ticket: Ticket): void {
    let index = this.#queue.length
    while (index > 0 && isMoreUrgent(ticket, this.#queue[index - 1]!)) index--
    this.#queue.splice(index, 0, ticket)
  }
}

/** Waits are taken to be longer after each request that waited in vain, and shorter after each that started. */
const DELAY_RISE = 1.3
const DELAY_FALL = 0.98
const MAX_DELAY = 10
const DELAY_HALF_LIFE_MS = 2_000
/** Part of the slots that is taken to be left by more urgent requests, at least. */
const MIN_LEFT = 0.1
/** Part of the target latency that waiting and running may use; the rest is for the way. */
const USED_LATENCY = 0.9
/** Duration of a slow request, as a multiple of the usual one. */
const SLOW_REQUEST = 1.6
/** Part of the target latency for which a request may wait at least, so that short bursts are smoothed. */
const MIN_PATIENCE = 0.1

/** Calls of running requests go before all others. */
function urgencyOf ({ nested, priority }: Ticket): number {
  return nested ? NESTED_URGENCY : priority
}

function isMoreUrgent (a: Ticket, b: Ticket): boolean {
  const difference = urgencyOf(a) - urgencyOf(b)
  return difference !== 0 ? difference < 0 : a.arrivedAt < b.arrivedAt
}
