import { MAX_LEAVINGS, type Leaving, type TargetRecord, type TargetState } from '../fleet/records.js'

/** What a target says of itself. */
export interface Announcement {
  id: string
  service: string
  version: string
  slots: number
  state: TargetState
  /** Milliseconds for which the target stays slow after its start. */
  coldMs: number
  /** Rises with each announcement of one start of the target. */
  sequence: number
  /** Unix milliseconds of the target's start, by its own clock; it tells starts apart. */
  startedAt: number
}

export type AnnouncementOutcome = 'taken' | 'stale'

interface Held extends Announcement {
  heardAt: number
  left: boolean
}

/** Periods without an announcement after which the target counts as gone. */
const SILENT_PERIODS = 4
/** Periods after which an announcement is missing rather than late. */
const OVERDUE_PERIODS = 1.7

/**
 * The target beside this daemon, from its announcements. They may come late, twice or out of order: an announcement of
 * an earlier start never replaces a later one, and a target that said it leaves stays leaving until it starts again.
 */
export class LocalTarget {
  readonly #silenceMs: number
  readonly #overdueMs: number
  readonly #leavings = new Map<string, Leaving>()
  #held: Held | undefined

  /** `periodMs`: time between two announcements of a target. */
  constructor (periodMs: number) {
    this.#silenceMs = SILENT_PERIODS * periodMs
    this.#overdueMs = OVERDUE_PERIODS * periodMs
  }

  announce (announcement: Announcement, now: number): AnnouncementOutcome {
    const { id, startedAt } = announcement
    const leaving = this.#leavings.get(id)
    if (leaving && startedAt <= leaving.startedAt) {
      if (leaving.state === 'gone') return 'stale'
      announcement = { ...announcement, state: 'draining' }
    }
    const held = this.#held && now - this.#held.heardAt <= this.#silenceMs ? this.#held : undefined
    if (held) {
      const isSameStart = held.id === id && held.startedAt === startedAt
      if (isSameStart && announcement.sequence <= held.sequence) return 'stale'
      if (!isSameStart && startedAt < held.startedAt) return 'stale'
      if (isSameStart && held.state === 'draining') announcement = { ...announcement, state: 'draining' }
    }
    this.#held = { ...announcement, heardAt: now, left: false }
    if (announcement.state === 'draining') this.#remember({ id, startedAt, state: 'draining' })
    return 'taken'
  }

  /** The target says that it has gone; `wallNow` stands for its start when it isn't known. */
  leave (id: string, wallNow: number): void {
    const held = this.#held?.id === id ? this.#held : undefined
    if (held) held.left = true
    this.#remember({ id, startedAt: held?.startedAt ?? wallNow, state: 'gone' })
  }

  /** Targets that left lately, the newest last. */
  leavings (): Leaving[] {
    return [...this.#leavings.values()]
  }

  /** Takes in leavings that this daemon knew before a restart. */
  recall (leavings: readonly Leaving[]): void {
    for (const leaving of leavings) {
      const known = this.#leavings.get(leaving.id)
      if (known && (known.startedAt > leaving.startedAt || known.state === 'gone')) continue
      this.#remember(leaving)
      const held = this.#held
      if (held?.id !== leaving.id || held.startedAt > leaving.startedAt) continue
      if (leaving.state === 'gone') held.left = true
      else held.state = 'draining'
    }
  }

  #remember (leaving: Leaving): void {
    this.#leavings.delete(leaving.id)
    this.#leavings.set(leaving.id, leaving)
    for (const oldest of this.#leavings.keys()) {
      if (this.#leavings.size <= MAX_LEAVINGS) break
      this.#leavings.delete(oldest)
    }
  }

  /** Whether the target should have announced itself again by now; late announcements alone don't mean that it is gone. */
  isOverdue (now: number): boolean {
    return this.#held !== undefined && now - this.#held.heardAt > this.#overdueMs
  }

  /** The target as peers should see it; undefined when there is none or it is gone. */
  record (now: number): TargetRecord | undefined {
    const held = this.#held
    if (!held || held.left || now - held.heardAt > this.#silenceMs) return undefined
    const { id, service, version, slots, state } = held
    return { id, service, version, slots, state, coldMs: Math.max(0, held.coldMs - (now - held.heardAt)) }
  }
}
