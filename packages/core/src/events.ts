import type { Timers } from './timers.js'

/** Types of the events in the fleet's timeline. */
export const EVENT_TYPES = [
  'daemonStarted', 'daemonReady', 'daemonStopping',
  'versionAccepted', 'versionInForce', 'versionRefused', 'olderHeadSeen',
  'memberJoined', 'memberSuspected', 'memberRemoved', 'partitionSuspected', 'partitionHealed',
  'leaseTaken', 'leaseLost', 'platformLost', 'platformBack',
  'targetAnnounced', 'targetReady', 'targetLeaving', 'targetGone', 'targetEjected', 'targetRestored',
  'moveStarted', 'moveStage', 'movePaused', 'moveResumed', 'moveAlarm', 'moveRollback', 'moveEnded'
] as const

export type EventType = typeof EVENT_TYPES[number]

/** Timestamp of a hybrid logical clock: wall time in Unix milliseconds, and a counter that orders events of equal wall time. */
export interface HybridTime {
  wallMs: number
  counter: number
}

export interface EventFields {
  service?: string
  version?: number
  move?: string
  target?: string
  reason?: string
  /** Share of traffic on the new target version, 0 to 1. */
  share?: number
  [name: string]: string | number | boolean | undefined
}

/** A state change of a daemon, its targets or a move, recorded for the fleet's timeline. */
export interface TimelineEvent {
  /** `<daemon>#<sequence>`, unique in the fleet. */
  id: string
  daemon: string
  time: HybridTime
  type: EventType
  fields: EventFields
  /** Id of the change, move or event that led to this event. */
  cause?: string
}

/**
 * Hybrid logical clock. Its timestamps never decrease, even if the host's clock is set back, and are greater than those
 * observed from other processes.
 */
export class HybridClock {
  readonly #timers: Timers
  #last: HybridTime = { wallMs: 0, counter: 0 }

  constructor (timers: Timers) {
    this.#timers = timers
  }

  /** Returns a timestamp that is greater than all earlier ones. */
  tick (): HybridTime {
    const wallMs = this.#timers.wallNow()
    this.#last = wallMs > this.#last.wallMs
      ? { wallMs, counter: 0 }
      : { wallMs: this.#last.wallMs, counter: this.#last.counter + 1 }
    return this.#last
  }

  /** Advances the clock to a remote timestamp, unless that is so far ahead that the remote clock must be wrong. */
  observe (remote: HybridTime): void {
    if (remote.wallMs > this.#timers.wallNow() + MAX_CLOCK_LEAD_MS) return
    if (compareTimes(remote, this.#last) > 0) this.#last = remote
  }
}

/** Keeps one host with a wrong clock from moving the whole fleet's timeline into the future. */
const MAX_CLOCK_LEAD_MS = 5_000

export function compareTimes (a: HybridTime, b: HybridTime): number {
  return a.wallMs - b.wallMs || a.counter - b.counter
}

/** Orders events of several processes. Ties are broken by event id, so that every merge gives the same order. */
export function compareEvents (a: TimelineEvent, b: TimelineEvent): number {
  return compareTimes(a.time, b.time) || a.id.localeCompare(b.id, 'en', { numeric: true })
}

/** Ring buffer of the newest events of one process. */
export class EventLog {
  readonly clock: HybridClock
  readonly #daemon: string
  readonly #capacity: number
  readonly #events: TimelineEvent[] = []
  #sequence = 0

  constructor (opts: { daemon: string, timers: Timers, capacity?: number }) {
    this.#daemon = opts.daemon
    this.#capacity = opts.capacity ?? DEFAULT_EVENT_CAPACITY
    this.clock = new HybridClock(opts.timers)
  }

  record (type: EventType, fields: EventFields = {}, cause?: string): TimelineEvent {
    this.#sequence++
    const event: TimelineEvent = {
      id: `${this.#daemon}#${this.#sequence}`,
      daemon: this.#daemon,
      time: this.clock.tick(),
      type,
      fields,
      ...(cause === undefined ? {} : { cause })
    }
    this.#events.push(event)
    if (this.#events.length > this.#capacity) this.#events.shift()
    return event
  }

  /** Events after a sequence number, as far as the buffer still has them; 0 returns all. */
  since (sequence: number): TimelineEvent[] {
    return this.#events.filter((event) => Number(event.id.slice(event.id.lastIndexOf('#') + 1)) > sequence)
  }

  /** Sequence number of the newest event. */
  get lastSequence (): number {
    return this.#sequence
  }
}

const DEFAULT_EVENT_CAPACITY = 2_000
