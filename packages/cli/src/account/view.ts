import type { ChangeRecord, Config, Move } from '@lentilwheel/config'
import type { MoveOutcome } from '@lentilwheel/core'
import type { Account, MoveRecord, Refusal } from './schema.js'

/** The configuration's side of the story; only the platform has it. */
export interface AcceptedConfig {
  version: number
  changes: readonly ChangeRecord[]
  /** Absent when its objects could not be read. */
  config?: Config
}

/** What a command knows of the fleet, and from where. */
export interface FleetView {
  /** `platform` or `daemon <address>`. */
  source: string
  accepted?: AcceptedConfig
  accounts: readonly Account[]
  records: readonly MoveRecord[]
  /** What could not be read, in sentences. */
  notices: readonly string[]
}

/** The newest version known: the accepted one, else the highest that any daemon holds. */
export function newestVersion (view: FleetView): number {
  if (view.accepted) return view.accepted.version
  return Math.max(0, ...view.accounts.flatMap((account) => Object.keys(account.inForce).map(Number)))
}

/** Daemons of an account that hold a version or a later one. */
export function holdersOf (account: Account, version: number): number {
  return Object.entries(account.inForce)
    .filter(([held]) => Number(held) >= version)
    .reduce((sum, [, daemons]) => sum + daemons, 0)
}

export interface Reach {
  holding: number
  members: number
}

/** On how many of how many daemons a version is in force. */
export function reachOf (accounts: readonly Account[], version: number): Reach {
  return {
    holding: accounts.reduce((sum, account) => sum + holdersOf(account, version), 0),
    members: accounts.reduce((sum, account) => sum + account.members, 0)
  }
}

export function isEverywhere (reach: Reach): boolean {
  return reach.members > 0 && reach.holding >= reach.members
}

export interface LaggingView {
  daemon: string
  dataCentre: string
  version: number
  reason: string
}

/** Named daemons that hold less than a version. */
export function laggingBehind (accounts: readonly Account[], version: number): LaggingView[] {
  return accounts.flatMap(({ dataCentre, lagging }) =>
    lagging.filter((daemon) => daemon.version < version).map((daemon) => ({ ...daemon, dataCentre })))
}

/** How many daemons per data centre lack a version beyond those that are named. */
export function unnamedLagging (accounts: readonly Account[], version: number): { dataCentre: string, count: number }[] {
  return accounts.flatMap((account) => {
    const named = laggingBehind([account], version).length
    const count = account.members - holdersOf(account, version) - named
    return count > 0 ? [{ dataCentre: account.dataCentre, count }] : []
  })
}

export interface RefusalView extends Refusal {
  /** Data centres whose daemons refused it. */
  dataCentres: readonly string[]
  /** Who made the change; known only from the platform. */
  author?: string
}

/** Refusals of all data centres, newest first; the same refusal in several becomes one. */
export function refusalsOf (view: FleetView): RefusalView[] {
  const merged = new Map<string, RefusalView>()
  const refusals = view.accounts.flatMap(({ dataCentre, refusals }) => refusals.map((refusal) => ({ dataCentre, ...refusal })))
  for (const { dataCentre, ...refusal } of refusals) {
    const key = JSON.stringify([refusal.version, refusal.changeId, refusal.reason])
    const known = merged.get(key)
    const author = view.accepted?.changes.find((change) => change.id === refusal.changeId)?.author
    merged.set(key, {
      ...refusal,
      at: Math.min(refusal.at, known?.at ?? Infinity),
      daemons: (known?.daemons ?? 0) + refusal.daemons,
      dataCentres: [...new Set([...known?.dataCentres ?? [], dataCentre])].sort(),
      ...(author === undefined ? {} : { author })
    })
  }
  return [...merged.values()].sort((a, b) => b.at - a.at || b.version - a.version)
}

export type MoveState =
  | 'not started' | 'running' | 'paused' | 'finishing' | 'being taken back' | 'done' | 'taken back' | 'late' | 'removed'

/** A move as the configuration declares it and as the fleet reports it. */
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

/** Moves of the configuration with their progress, then those that only the fleet still reports. */
export function movesOf (view: FleetView): MoveView[] {
  const declared = Object.entries(view.accepted?.config?.moves ?? {})
  const seen = new Set(declared.map(([id]) => id))
  const progress = new Map(view.records.map((record) => [record.id, record]))
  return [
    ...declared.map(([id, move]) => withProgress(id, move, progress.get(id))),
    ...view.records.filter((record) => !seen.has(record.id)).map((record) => fromRecord(record, view))
  ]
}

/** A record of an earlier move that had the same id says nothing about this one. */
function withProgress (id: string, move: Move, record: MoveRecord | undefined): MoveView {
  const { service, from, to, by, hold, control } = move
  const declared = { id, service, from, to, by, hold, control }
  const isSame = record?.service === service && record.from === from && record.to === to
  if (!isSame) return { ...declared, state: control === 'run' ? 'not started' : CONTROL_STATES[control] }
  const { stage, share, outcome, reason, at } = record
  const state = outcome ? OUTCOME_STATES[outcome] : CONTROL_STATES[control]
  return { ...declared, state, stage, share, at, ...(outcome && { outcome }), ...(reason && { reason }) }
}

function fromRecord (record: MoveRecord, view: FleetView): MoveView {
  if (record.outcome) return { ...record, state: OUTCOME_STATES[record.outcome] }
  const isRemoved = view.accepted?.config !== undefined
  return { ...record, state: isRemoved ? 'removed' : 'running' }
}
