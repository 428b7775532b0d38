import type { ChangeRecord, Config, Move } from '@lentilwheel/config'
import type { MoveOutcome } from '@lentilwheel/core'
import type { Account, MoveRecord, Refusal } from './schema.js'

/** The accepted configuration and the changes that led to it; only the platform has them. */
export interface AcceptedConfig {
  version: number
  changes: readonly ChangeRecord[]
  /** Absent if its objects could not be read. */
  config?: Config
}

/** State of the fleet that the reports are made from, as read from the platform or from one daemon. */
export interface FleetView {
  /** `platform` or `daemon <address>`. */
  source: string
  accepted?: AcceptedConfig
  /** Status summaries of the data centres, as their relays write them. */
  accounts: readonly Account[]
  /** Progress of moves as the fleet reports it. */
  moveRecords: readonly MoveRecord[]
  /** Sentences on what could not be read. */
  notices: readonly string[]
}

/** The accepted version, or, where that is unknown, the highest that any daemon holds. */
export function newestVersion (view: FleetView): number {
  if (view.accepted) return view.accepted.version
  return Math.max(0, ...view.accounts.flatMap((account) => Object.keys(account.inForce).map(Number)))
}

/** Number of daemons of a data centre that hold a version or a later one. */
export function countHolders (account: Account, version: number): number {
  return Object.entries(account.inForce)
    .filter(([heldVersion]) => Number(heldVersion) >= version)
    .reduce((sum, [, daemons]) => sum + daemons, 0)
}

/** How far a version has been distributed: daemons that hold it, out of all members. */
export interface RolloutProgress {
  holding: number
  members: number
}

export function rolloutProgress (accounts: readonly Account[], version: number): RolloutProgress {
  return {
    holding: accounts.reduce((sum, account) => sum + countHolders(account, version), 0),
    members: accounts.reduce((sum, account) => sum + account.members, 0)
  }
}

export function isActiveEverywhere (progress: RolloutProgress): boolean {
  return progress.members > 0 && progress.holding >= progress.members
}

/** A daemon that lacks a version, and why. */
export interface LaggingView {
  daemon: string
  dataCentre: string
  version: number
  reason: string
}

/** Daemons that hold an older version, as far as the accounts name them. */
export function laggingDaemons (accounts: readonly Account[], version: number): LaggingView[] {
  return accounts.flatMap(({ dataCentre, lagging }) =>
    lagging.filter((daemon) => daemon.version < version).map((daemon) => ({ ...daemon, dataCentre })))
}

/** Number of lagging daemons in each data centre beyond those that its account names. */
export function countUnnamedLagging (accounts: readonly Account[], version: number): { dataCentre: string, count: number }[] {
  return accounts.flatMap((account) => {
    const named = laggingDaemons([account], version).length
    const count = account.members - countHolders(account, version) - named
    return count > 0 ? [{ dataCentre: account.dataCentre, count }] : []
  })
}

export interface RefusalView extends Refusal {
  /** Author of the change; only the platform knows it. */
  author?: string
}

/** Refusals of all data centres, newest first; equal ones of several data centres are merged. */
export function refusalsOf (view: FleetView): RefusalView[] {
  const merged = new Map<string, RefusalView>()
  for (const refusal of view.accounts.flatMap((account) => account.refusals)) {
    const key = JSON.stringify([refusal.version, refusal.changeId, refusal.reason])
    const previous = merged.get(key)
    const author = view.accepted?.changes.find((change) => change.id === refusal.changeId)?.author
    merged.set(key, {
      ...refusal,
      at: Math.min(refusal.at, previous?.at ?? Infinity),
      daemons: [...new Set([...previous?.daemons ?? [], ...refusal.daemons])].sort(),
      ...(author === undefined ? {} : { author })
    })
  }
  return [...merged.values()].sort((a, b) => b.at - a.at || b.version - a.version)
}

export type MoveState =
  | 'not started' | 'running' | 'paused' | 'finishing' | 'being taken back' | 'done' | 'taken back' | 'late' | 'removed'

/** A traffic move: its declaration in the configuration together with its progress. */
export interface MoveView {
  id: string
  service: string
  from: string
  to: string
  by: string
  state: MoveState
  control?: Move['control']
  hold?: number
  stage?: number
  share?: number
  outcome?: MoveOutcome
  reason?: string
  at?: number
}

const OUTCOME_STATES: Record<MoveOutcome, MoveState> = { done: 'done', takenBack: 'taken back', late: 'late' }

const CONTROL_STATES: Record<Move['control'], MoveState> = {
  run: 'running', paused: 'paused', finish: 'finishing', takeBack: 'being taken back'
}

/** Moves of the configuration with their progress, followed by those that only the fleet still reports. */
export function movesOf (view: FleetView): MoveView[] {
  const declared = Object.entries(view.accepted?.config?.moves ?? {})
  const declaredIds = new Set(declared.map(([id]) => id))
  const progress = new Map(view.moveRecords.map((record) => [record.id, record]))
  return [
    ...declared.map(([id, move]) => withProgress(id, move, progress.get(id))),
    ...view.moveRecords.filter((record) => !declaredIds.has(record.id)).map((record) => fromRecord(record, view))
  ]
}

/** Ignores the record of an earlier move that had the same id but another service or other versions. */
function withProgress (id: string, move: Move, record: MoveRecord | undefined): MoveView {
  const { service, from, to, by, hold, control } = move
  const declared = { id, service, from, to, by, hold, control }
  const isSameMove = record?.service === service && record.from === from && record.to === to
  if (!isSameMove) return { ...declared, state: control === 'run' ? 'not started' : CONTROL_STATES[control] }
  const { stage, share, outcome, reason, at } = record
  const state = outcome ? OUTCOME_STATES[outcome] : CONTROL_STATES[control]
  return { ...declared, state, stage, share, at, ...(outcome && { outcome }), ...(reason && { reason }) }
}

function fromRecord (record: MoveRecord, view: FleetView): MoveView {
  if (record.outcome) return { ...record, state: OUTCOME_STATES[record.outcome] }
  const isRemoved = view.accepted?.config !== undefined
  return { ...record, state: isRemoved ? 'removed' : 'running' }
}
