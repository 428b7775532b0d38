/** `draining`: the target completes requests in flight and gets no new ones. */
export const TARGET_STATES = ['ready', 'draining'] as const
export type TargetState = typeof TARGET_STATES[number]

/** A target as the daemon beside it announces it to other daemons. */
export interface TargetRecord {
  id: string
  /** Unix milliseconds of the target's start by its own clock, to tell it from an earlier start with the same id. */
  startedAt: number
  service: string
  version: string
  slots: number
  state: TargetState
  /** Milliseconds from the announcement until the target has warmed up; it is slow until then. */
  coldMs: number
}

/** Newest departures kept for each host; few are enough, as an announcement that arrives late is only seconds old. */
export const MAX_DEPARTURES = 8

/**
 * A target that has told the daemon beside it that it leaves. Kept as a tombstone, so that a late announcement doesn't
 * bring the target back.
 */
export interface Departure {
  id: string
  /** Unix milliseconds of the target's start, to tell it from a later start with the same id. */
  startedAt: number
  /** `draining`: it still completes requests in flight. */
  state: 'draining' | 'gone'
}

/**
 * What one daemon tells the others about itself. Only that daemon writes it; the others keep the record with the highest
 * incarnation and, within it, the highest sequence.
 */
export interface HostRecord {
  host: string
  dataCentre: string
  /** IP address and port at which peers reach the daemon. */
  address: string
  port: number
  /** Increases with each start of the daemon. */
  incarnation: number
  /** Increases with each change of the record. */
  sequence: number
  /** True once the daemon has been told to stop. */
  stopping: boolean
  target?: TargetRecord
  /** Recent departures, so that the daemon gets them back from its peers after a restart. */
  leavings?: Departure[]
}

/** The target of a record if it takes requests: it hasn't said that it leaves, and the daemon beside it isn't stopping. */
export function availableTarget ({ target, stopping, leavings }: HostRecord): TargetRecord | undefined {
  if (!target || stopping || target.state !== 'ready') return undefined
  const hasLeft = leavings?.some(({ id, startedAt }) => id === target.id && target.startedAt <= startedAt)
  return hasLeft ? undefined : target
}

/** Whether record `a` replaces record `b` of the same daemon. */
export function isNewer (a: HostRecord, b: HostRecord): boolean {
  return a.incarnation !== b.incarnation ? a.incarnation > b.incarnation : a.sequence > b.sequence
}

/** Departures that the list `known` doesn't have for the same or a later start of the target. */
export function departuresNotIn (known: readonly Departure[] | undefined, departures: readonly Departure[] | undefined): Departure[] {
  const latestStarts = new Map<string, number>()
  for (const { id, startedAt } of known ?? []) latestStarts.set(id, Math.max(startedAt, latestStarts.get(id) ?? -Infinity))
  return (departures ?? []).filter(({ id, startedAt }) => startedAt > (latestStarts.get(id) ?? -Infinity))
}
