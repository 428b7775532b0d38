import type { Endpoint, EndpointState } from '@lentilwheel/core'
import { toEndpoint, type Announcement, type Renewal } from './announcement.js'

export const LEASE_MS = 6_000
/** Interval at which targets renew. */
export const RENEW_MS = 2_000
/** Time in which every daemon has heard of a leaving target; it should serve for as long after leaving. */
export const LEAVE_MS = 3_000
/** A target whose health endpoint never says ready is used after this time nevertheless: the endpoint may mislead. */
const STARTING_LIMIT_MS = 30_000
/** Failed health checks in a row before a ready target is reported as fully loaded. */
const UNHEALTHY_CHECKS = 3
/** Loads are announced in quarters and seldom: each change of them travels to every daemon. */
const LOAD_STEPS = 4
const LOAD_PERIOD_MS = 10_000
/** How long a target that is gone stays listed, so that other daemons see it leave. */
const GONE_MS = 3_000

export type TargetEvent =
  | { kind: 'announced' | 'ready' | 'leaving' | 'gone', endpoint: Endpoint, reason: string }

interface Entry {
  announced: Announcement
  endpoint: Endpoint
  announcedAt: number
  renewedAt: number
  /** When it began to drain or was gone. */
  endedAt: number
  failedChecks: number
  /** When its announced load last changed. */
  loadAt: number
}

/** The targets beside one daemon, each with a lease; a pure state machine that is told the time. */
export class TargetRegistry {
  readonly #daemon: { id: string, dataCentre: string }
  readonly #entries = new Map<string, Entry>()

  constructor (daemon: { id: string, dataCentre: string }) {
    this.#daemon = daemon
  }

  endpoints (): Endpoint[] {
    return Array.from(this.#entries.values(), (entry) => entry.endpoint)
  }

  announcements (): { id: string, announced: Announcement }[] {
    return Array.from(this.#entries, ([id, { announced }]) => ({ id, announced }))
  }

  /** A repeated announcement of the same target renews it; other facts under its name replace it. */
  * announce (announced: Announcement, now: number): Generator<TargetEvent, string> {
    const endpoint = toEndpoint(this.#daemon, announced)
    const held = this.#entries.get(endpoint.id)
    if (held && isLive(held) && JSON.stringify(held.announced) === JSON.stringify(announced)) {
      held.renewedAt = now
      return endpoint.id
    }
    const entry = { announced, endpoint, announcedAt: now, renewedAt: now, endedAt: 0, failedChecks: 0, loadAt: -LOAD_PERIOD_MS }
    this.#entries.set(endpoint.id, entry)
    yield { kind: 'announced', endpoint, reason: 'it announced itself' }
    if (announced.healthPath === undefined) yield * this.#setReady(entry, 'it has no health endpoint')
    return endpoint.id
  }

  /** False when the target isn't known, so it has to announce itself again. */
  * renew (id: string, renewal: Renewal, now: number): Generator<TargetEvent, boolean> {
    const entry = this.#entries.get(id)
    if (!entry || entry.endpoint.state === 'gone') return false
    entry.renewedAt = now
    if (renewal.load !== undefined) setLoad(entry, renewal.load, now)
    if (renewal.draining) yield * this.#setLeaving(entry, 'it says that it drains', now)
    return true
  }

  * leave (id: string, now: number): Generator<TargetEvent, boolean> {
    const entry = this.#entries.get(id)
    if (!entry) return false
    yield * this.#setLeaving(entry, 'it is leaving', now)
    return true
  }

  /** Lets all targets leave because the daemon beside them stops. */
  * leaveAll (now: number): Generator<TargetEvent> {
    for (const entry of this.#entries.values()) yield * this.#setLeaving(entry, 'the daemon beside it stops', now)
  }

  /** Takes in a health check; only a first success changes the state, later failures only lower preference. */
  * checked (id: string, healthy: boolean): Generator<TargetEvent> {
    const entry = this.#entries.get(id)
    if (!entry) return
    if (healthy && entry.failedChecks >= UNHEALTHY_CHECKS) entry.endpoint = { ...entry.endpoint, load: 0 }
    entry.failedChecks = healthy ? 0 : entry.failedChecks + 1
    if (healthy && entry.endpoint.state === 'starting') yield * this.#setReady(entry, 'its health endpoint says so')
    if (entry.failedChecks === UNHEALTHY_CHECKS && entry.endpoint.state === 'ready') {
      entry.endpoint = { ...entry.endpoint, load: 1 }
    }
  }

  /** Takes in the answer of a load endpoint. */
  loadReported (id: string, load: number, now: number): void {
    const entry = this.#entries.get(id)
    if (entry) setLoad(entry, load, now)
  }

  /** Ends leases and drains that are over. */
  * tick (now: number): Generator<TargetEvent> {
    for (const [id, entry] of this.#entries) {
      const { state } = entry.endpoint
      if (state === 'gone') {
        if (now - entry.endedAt >= GONE_MS) this.#entries.delete(id)
      } else if (state === 'draining') {
        if (now - entry.endedAt >= LEAVE_MS) yield * this.#setGone(entry, 'it has drained', now)
      } else if (now - entry.renewedAt >= LEASE_MS) {
        yield * this.#setGone(entry, 'its lease expired', now)
      } else if (state === 'starting' && now - entry.announcedAt >= STARTING_LIMIT_MS) {
        yield * this.#setReady(entry, 'its health endpoint never answered')
      }
    }
  }

  * #setReady (entry: Entry, reason: string): Generator<TargetEvent> {
    setState(entry, 'ready')
    yield { kind: 'ready', endpoint: entry.endpoint, reason }
  }

  * #setLeaving (entry: Entry, reason: string, now: number): Generator<TargetEvent> {
    if (!isLive(entry)) return
    setState(entry, 'draining')
    entry.endedAt = now
    yield { kind: 'leaving', endpoint: entry.endpoint, reason }
  }

  * #setGone (entry: Entry, reason: string, now: number): Generator<TargetEvent> {
    setState(entry, 'gone')
    entry.endedAt = now
    yield { kind: 'gone', endpoint: entry.endpoint, reason }
  }
}

function isLive (entry: Entry): boolean {
  return entry.endpoint.state === 'starting' || entry.endpoint.state === 'ready'
}

function setLoad (entry: Entry, load: number, now: number): void {
  const step = Math.round(load * LOAD_STEPS) / LOAD_STEPS
  const isUnhealthy = entry.failedChecks >= UNHEALTHY_CHECKS
  if (isUnhealthy || step === entry.endpoint.load || now - entry.loadAt < LOAD_PERIOD_MS) return
  entry.loadAt = now
  entry.endpoint = { ...entry.endpoint, load: step }
}

function setState (entry: Entry, state: EndpointState): void {
  entry.endpoint = { ...entry.endpoint, state }
}
