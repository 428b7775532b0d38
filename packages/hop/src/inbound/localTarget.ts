import { isSequence, readTargetRecord } from '../fleet/records.js'
import { MAX_DEPARTURES, type Departure, type TargetRecord, type TargetState } from '../fleet/hostRecord.js'

/** State of a target as it announces it to the daemon beside it, in each heartbeat. */
export interface Announcement {
  id: string
  service: string
  version: string
  slots: number
  state: TargetState
  /** Milliseconds for which the target stays slow after its start. */
  coldMs: number
  /** Increases with each announcement since the target's start. */
  sequence: number
  /** Unix milliseconds of the target's start by its own clock; tells one start from another. */
  startedAt: number
}

/** Whether all fields of an announcement can be right. `wallNow`: Unix milliseconds. */
export function isAnnouncement (announcement: Announcement, wallNow: number): boolean {
  return readTargetRecord(announcement, wallNow) !== undefined && isSequence(announcement.sequence)
}

export type AnnouncementOutcome = 'accepted' | 'stale'

interface CurrentTarget extends Announcement {
  lastAnnouncedAt: number
  hasLeft: boolean
}

/** Announcement periods without an announcement after which the target counts as gone. */
const GONE_AFTER_PERIODS = 4
/** Announcement periods after which an announcement counts as missed rather than late. */
const OVERDUE_AFTER_PERIODS = 1.7

/**
 * State of the target beside this daemon, derived from its announcements. These may arrive late, twice or out of order:
 * an announcement of an earlier start never replaces one of a later start, and a target that said that it leaves stays
 * draining or gone until it is started again.
 */
export class LocalTarget {
  #goneAfterMs = 0
  #overdueAfterMs = 0
  readonly #departures = new Map<string, Departure>()
  #current: CurrentTarget | undefined
  /** Whether the target may have turned cold since its last announcement. */
  #isPresumedCold = false

  /** `periodMs`: time between two announcements of a target. */
  constructor (periodMs: number) {
    this.setPeriod(periodMs)
  }

  /** Changes the time between two announcements. */
  setPeriod (periodMs: number): void {
    this.#goneAfterMs = GONE_AFTER_PERIODS * periodMs
    this.#overdueAfterMs = OVERDUE_AFTER_PERIODS * periodMs
  }

  /** Takes an announcement; `stale` means that it was ignored because a later one is known or the target has gone. */
  announce (announcement: Announcement, now: number): AnnouncementOutcome {
    const { id, startedAt } = announcement
    const departure = this.#departures.get(id)
    if (departure && startedAt <= departure.startedAt) {
      if (departure.state === 'gone') return 'stale'
      announcement = { ...announcement, state: 'draining' }
    }
    const current = this.#current && now - this.#current.lastAnnouncedAt <= this.#goneAfterMs ? this.#current : undefined
    if (current) {
      const isSameStart = current.id === id && current.startedAt === startedAt
      if (isSameStart && announcement.sequence <= current.sequence) return 'stale'
      if (!isSameStart && startedAt < current.startedAt) {
        if (announcement.state === 'draining') this.#addDeparture({ id, startedAt, state: 'draining' })
        return 'stale'
      }
      if (isSameStart && current.state === 'draining') announcement = { ...announcement, state: 'draining' }
    }
    this.#current = { ...announcement, lastAnnouncedAt: now, hasLeft: false }
    this.#isPresumedCold = false
    if (announcement.state === 'draining') this.#addDeparture({ id, startedAt, state: 'draining' })
    return 'accepted'
  }

  /**
   * Called when the target says that it has gone. `wallNow`, in Unix milliseconds, is used as the time of its start when that is
   * unknown. Returns the departure.
   */
  leave (id: string, wallNow: number): Departure {
    const current = this.#current?.id === id ? this.#current : undefined
    if (current) current.hasLeft = true
    const departure: Departure = { id, startedAt: current?.startedAt ?? wallNow, state: 'gone' }
    this.#addDeparture(departure)
    return departure
  }

  /** Whether a start of a target has said that it leaves. */
  hasDeparted (id: string, startedAt: number): boolean {
    return startedAt <= (this.#departures.get(id)?.startedAt ?? -Infinity)
  }

  /** Targets that left recently, the latest last. */
  departures (): Departure[] {
    return [...this.#departures.values()]
  }

  /** Adds departures of which this daemon heard otherwise: before it restarted, or in a response of the target. */
  addDepartures (departures: readonly Departure[]): void {
    for (const departure of departures) {
      const known = this.#departures.get(departure.id)
      if (known && (known.startedAt > departure.startedAt || (known.startedAt === departure.startedAt && known.state === 'gone'))) continue
      this.#addDeparture(departure)
      const current = this.#current
      if (current?.id !== departure.id || current.startedAt > departure.startedAt) continue
      if (departure.state === 'gone') current.hasLeft = true
      else current.state = 'draining'
    }
  }

  /** Adds a departure as the latest; the oldest ones above the limit are forgotten. */
  #addDeparture (departure: Departure): void {
    const known = this.#departures.get(departure.id)
    if (known?.startedAt === departure.startedAt && known.state === departure.state) return
    this.#departures.delete(departure.id)
    this.#departures.set(departure.id, departure)
    for (const oldestId of this.#departures.keys()) {
      if (this.#departures.size <= MAX_DEPARTURES) break
      this.#departures.delete(oldestId)
    }
  }

  /** Makes the target count as cold until its next announcement, as it may have turned cold since the last one. */
  presumeCold (): void {
    this.#isPresumedCold = true
  }

  get isPresumedCold (): boolean {
    return this.#isPresumedCold
  }

  /** Whether the target should have announced itself again by now. This alone doesn't mean that it is gone: the announcement may be late. */
  isAnnouncementOverdue (now: number): boolean {
    return this.#current !== undefined && now - this.#current.lastAnnouncedAt > this.#overdueAfterMs
  }

  /** The target as peers should see it; undefined when there is none or when it is gone. */
  record (now: number): TargetRecord | undefined {
    const current = this.#current
    if (!current || current.hasLeft || now - current.lastAnnouncedAt > this.#goneAfterMs) return undefined
    const { id, startedAt, service, version, slots, state } = current
    return { id, startedAt, service, version, slots, state, coldMs: Math.max(0, current.coldMs - (now - current.lastAnnouncedAt)) }
  }
}
