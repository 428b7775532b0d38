import type { Endpoint, EndpointState } from '@lentilwheel/core'
import { toEndpoint, type Announcement, type Renewal } from './announcement.js'

/** Time without a renewal after which a target is dropped. */
export const LEASE_MS = 6_000
/** Interval at which targets renew their lease. */
export const RENEWAL_PERIOD_MS = 2_000
/** Time in which every daemon learns that a target leaves; the target should go on serving for this long after it said so. */
export const DRAIN_MS = 3_000
/** A target whose health endpoint never reports it as ready is used after this time anyway: the endpoint may be wrong. */
const MAX_STARTING_MS = 30_000
/** Failed health checks in a row before a ready target is reported as fully loaded. */
const UNHEALTHY_THRESHOLD = 3
/** Loads are announced in quarters and at most once per interval, because each change is sent to every daemon. */
const LOAD_STEPS = 4
const MIN_LOAD_INTERVAL_MS = 10_000
/** How long a target that is gone stays listed, so that other daemons see that it has gone. */
const TOMBSTONE_MS = 3_000

/** A change of a target's state, with the reason that operators see. */
export type TargetEvent =
  | { kind: 'announced' | 'ready' | 'leaving' | 'gone', endpoint: Endpoint, reason: string }

interface TargetEntry {
  announcement: Announcement
  endpoint: Endpoint
  announcedAt: number
  renewedAt: number
  /** When it began to drain or, if it is gone, when it became so. */
  leftAt: number
  failedChecks: number
  /** When its announced load last changed. */
  loadChangedAt: number
}

/**
 * Registry of the targets that announced themselves at one daemon. Each has a lease that it must renew. A pure state
 * machine: it is given the time, and its transitions yield the events to report.
 */
export class TargetRegistry {
  readonly #daemon: { id: string, dataCentre: string }
  readonly #entries = new Map<string, TargetEntry>()

  constructor (daemon: { id: string, dataCentre: string }) {
    this.#daemon = daemon
  }

  endpoints (): Endpoint[] {
    return Array.from(this.#entries.values(), (entry) => entry.endpoint)
  }

  announcements (): { id: string, announcement: Announcement }[] {
    return Array.from(this.#entries, ([id, { announcement }]) => ({ id, announcement }))
  }

  /** Registers a target and returns its id. Repeating an announcement renews the lease; a different one replaces it. */
  * announce (announcement: Announcement, now: number): Generator<TargetEvent, string> {
    const endpoint = toEndpoint(this.#daemon, announcement)
    const existing = this.#entries.get(endpoint.id)
    if (existing && isActive(existing) && JSON.stringify(existing.announcement) === JSON.stringify(announcement)) {
      existing.renewedAt = now
      return endpoint.id
    }
    const entry = {
      announcement, endpoint, announcedAt: now, renewedAt: now, leftAt: 0, failedChecks: 0, loadChangedAt: -MIN_LOAD_INTERVAL_MS
    }
    this.#entries.set(endpoint.id, entry)
    yield { kind: 'announced', endpoint, reason: 'it announced itself' }
    if (announcement.healthPath === undefined) yield * this.#setReady(entry, 'it has no health endpoint')
    return endpoint.id
  }

  /** Renews a lease; false when the target is unknown and has to announce itself again. */
  * renew (id: string, renewal: Renewal, now: number): Generator<TargetEvent, boolean> {
    const entry = this.#entries.get(id)
    if (!entry || entry.endpoint.state === 'gone') return false
    entry.renewedAt = now
    if (renewal.load !== undefined) setLoad(entry, renewal.load, now)
    if (renewal.draining) yield * this.#setLeaving(entry, 'it says that it drains', now)
    return true
  }

  /** Starts draining a target that leaves; false when it is unknown. */
  * leave (id: string, now: number): Generator<TargetEvent, boolean> {
    const entry = this.#entries.get(id)
    if (!entry) return false
    yield * this.#setLeaving(entry, 'it is leaving', now)
    return true
  }

  /** Starts draining all targets because the daemon beside them stops. */
  * leaveAll (now: number): Generator<TargetEvent> {
    for (const entry of this.#entries.values()) yield * this.#setLeaving(entry, 'the daemon beside it stops', now)
  }

  /**
   * Records a health check. The first success makes a starting target ready; later failures don't change the state, they
   * only lower its preference, by a reported load of 1.
   */
  * recordHealthCheck (id: string, isHealthy: boolean): Generator<TargetEvent> {
    const entry = this.#entries.get(id)
    if (!entry) return
    if (isHealthy && entry.failedChecks >= UNHEALTHY_THRESHOLD) entry.endpoint = { ...entry.endpoint, load: 0 }
    entry.failedChecks = isHealthy ? 0 : entry.failedChecks + 1
    if (isHealthy && entry.endpoint.state === 'starting') yield * this.#setReady(entry, 'its health endpoint says so')
    if (entry.failedChecks === UNHEALTHY_THRESHOLD && entry.endpoint.state === 'ready') {
      entry.endpoint = { ...entry.endpoint, load: 1 }
    }
  }

  /** Records the load that a load endpoint returned. */
  recordLoad (id: string, load: number, now: number): void {
    const entry = this.#entries.get(id)
    if (entry) setLoad(entry, load, now)
  }

  /** Expires leases, ends drains, drops targets that have been gone for long and ends the wait for health endpoints. */
  * tick (now: number): Generator<TargetEvent> {
    for (const [id, entry] of this.#entries) {
      const { state } = entry.endpoint
      if (state === 'gone') {
        if (now - entry.leftAt >= TOMBSTONE_MS) this.#entries.delete(id)
      } else if (state === 'draining') {
        if (now - entry.leftAt >= DRAIN_MS) yield * this.#setGone(entry, 'it has drained', now)
      } else if (now - entry.renewedAt >= LEASE_MS) {
        yield * this.#setGone(entry, 'its lease expired', now)
      } else if (state === 'starting' && now - entry.announcedAt >= MAX_STARTING_MS) {
        yield * this.#setReady(entry, 'its health endpoint never answered')
      }
    }
  }

  * #setReady (entry: TargetEntry, reason: string): Generator<TargetEvent> {
    setState(entry, 'ready')
    yield { kind: 'ready', endpoint: entry.endpoint, reason }
  }

  * #setLeaving (entry: TargetEntry, reason: string, now: number): Generator<TargetEvent> {
    if (!isActive(entry)) return
    setState(entry, 'draining')
    entry.leftAt = now
    yield { kind: 'leaving', endpoint: entry.endpoint, reason }
  }

  * #setGone (entry: TargetEntry, reason: string, now: number): Generator<TargetEvent> {
    setState(entry, 'gone')
    entry.leftAt = now
    yield { kind: 'gone', endpoint: entry.endpoint, reason }
  }
}

function isActive (entry: TargetEntry): boolean {
  return entry.endpoint.state === 'starting' || entry.endpoint.state === 'ready'
}

function setLoad (entry: TargetEntry, load: number, now: number): void {
  const step = Math.round(load * LOAD_STEPS) / LOAD_STEPS
  const isUnhealthy = entry.failedChecks >= UNHEALTHY_THRESHOLD
  if (isUnhealthy || step === entry.endpoint.load || now - entry.loadChangedAt < MIN_LOAD_INTERVAL_MS) return
  entry.loadChangedAt = now
  entry.endpoint = { ...entry.endpoint, load: step }
}

function setState (entry: TargetEntry, state: EndpointState): void {
  entry.endpoint = { ...entry.endpoint, state }
}
