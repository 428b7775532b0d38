import type { ChangeRecord } from '@lentilwheel/config'
import { countHolders, type FleetView, type LaggingView, type MoveView, type RefusalView } from '../account/fleetView.js'
import type { Row } from './reportFields.js'

/** Rows of the report on data centres: how many daemons hold `version`, and which versions there are. */
export function dataCentreRows (view: FleetView, version: number): Row<'dataCentres'>[] {
  return view.accounts.map((account) => {
    const holding = countHolders(account, version)
    const versions = Object.entries(account.inForce)
      .filter(([, daemons]) => daemons > 0)
      .sort(([a], [b]) => Number(b) - Number(a))
      .map(([heldVersion, daemons]) => `${heldVersion === '0' ? 'none' : heldVersion} on ${daemons}`)
    return {
      dataCentre: account.dataCentre,
      members: account.members,
      holding,
      share: account.members === 0 ? undefined : holding / account.members,
      versions: versions.join(', '),
      at: account.at
    }
  })
}

export function laggingRows (lagging: readonly LaggingView[]): Row<'lagging'>[] {
  return lagging.map((daemon) => ({ ...daemon }))
}

export function refusalRows (refusals: readonly RefusalView[]): Row<'refusals'>[] {
  return refusals.map(({ daemons, ...refusal }) => ({
    ...refusal, count: daemons.length, daemons: daemons.join(', ')
  }))
}

export function moveRows (moves: readonly MoveView[]): Row<'moves'>[] {
  return moves.map(({ id, service, from, to, by, state, control, stage, share, reason, at }) =>
    ({ id, service, from, to, by, state, control, stage, share, reason, at }))
}

/** Newest first. */
export function historyRows (changes: readonly ChangeRecord[]): Row<'history'>[] {
  return changes.toReversed().map((change) => {
    const keys = Object.keys(change.replaced)
    return {
      version: change.version,
      at: change.acceptedAt,
      author: change.author,
      changeId: change.id,
      count: keys.length === 0 ? undefined : keys.length,
      objects: keys.join(', ')
    }
  })
}
