export const TARGET_STATES = ['ready', 'draining'] as const
export type TargetState = typeof TARGET_STATES[number]

/** A target as the daemon beside it announces it to its peers. */
export interface TargetRecord {
  id: string
  service: string
  version: string
  slots: number
  state: TargetState
  /** Milliseconds for which the target stays slow after its start, counted from the announcement. */
  coldMs: number
}

/** Leavings that are remembered of one host, the newest; a late announcement is seconds old. */
export const MAX_LEAVINGS = 8

/** A target that has told the daemon beside it that it leaves. */
export interface Leaving {
  id: string
  /** Unix milliseconds of the target's start, which tells it from a later one with the same id. */
  startedAt: number
  /** `draining`: it still ends what it runs. */
  state: 'draining' | 'gone'
}

/**
 * What one daemon says about itself. Each record has one writer; a reader keeps the one with the higher incarnation,
 * then the higher sequence.
 */
export interface HostRecord {
  host: string
  dataCentre: string
  /** IP address and port on which peers reach the daemon. */
  address: string
  port: number
  /** Rises with each start of the daemon. */
  incarnation: number
  /** Rises with each change of the record. */
  sequence: number
  /** True once the daemon has been told to stop. */
  stopping: boolean
  target?: TargetRecord
  /** Targets that left lately, so that the daemon learns of them again after a restart. */
  leavings?: Leaving[]
}

export function isNewer (a: HostRecord, b: HostRecord): boolean {
  return a.incarnation !== b.incarnation ? a.incarnation > b.incarnation : a.sequence > b.sequence
}

/** Those of some leavings whose targets others don't name. */
export function leavingsNotIn (others: readonly Leaving[] | undefined, leavings: readonly Leaving[] | undefined): Leaving[] {
  const named = new Set((others ?? []).map(({ id }) => id))
  return (leavings ?? []).filter(({ id }) => !named.has(id))
}
