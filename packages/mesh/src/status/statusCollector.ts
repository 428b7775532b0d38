import { create } from '@bufbuild/protobuf'
import type { Account, AccountRefusal } from '@lentilwheel/platform'
import { MAX_LAGGING_LISTED, MAX_REFUSALS, MAX_DAEMONS_PER_REFUSAL } from '../constants.js'
import { StatusSchema, type Status } from '../gen/mesh_pb.js'

/** What the account of a data centre is built from, beside the collected statuses. */
export interface AccountInput {
  dataCentre: string
  /** Wall-clock time in milliseconds. */
  at: number
  /** Fencing token of the relay's lease; 0 if it holds none. */
  token: number
  /** Ids of the members of the data centre. */
  members: readonly string[]
  /** Version that all members should hold. */
  expectedVersion: number
}

/** Collects the statuses of the daemons of a data centre on its relay and builds the account from them. */
export class StatusCollector {
  readonly #statuses = new Map<string, { version: number, status: Status }>()
  #refusals: AccountRefusal[] = []

  /** Records a status report of a daemon, and the refusal in it if it is new. */
  recordStatus (daemon: string, version: number, status: Status, now: number): void {
    const before = this.#statuses.get(daemon)?.status
    this.#statuses.set(daemon, { version, status })
    if (status.refusedVersion === 0 || status.refusedVersion === before?.refusedVersion) return
    const { refusedVersion, refusedChange: changeId, refusedReason: reason } = status
    this.recordRefusal({ version: refusedVersion, changeId, reason }, daemon, now)
  }

  /** Records the version seen in another message of a daemon, since its status report may have been lost. */
  recordVersion (daemon: string, version: number): void {
    const status = this.#statuses.get(daemon)?.status ?? create(StatusSchema)
    this.#statuses.set(daemon, { version, status })
  }

  /** Records that a daemon, or the relay itself, refused a version. */
  recordRefusal (refusal: Pick<AccountRefusal, 'version' | 'changeId' | 'reason'>, daemon: string, now: number): void {
    const known = this.#refusals.find((other) => other.version === refusal.version && other.reason === refusal.reason)
    if (!known) this.#refusals.push({ ...refusal, at: now, daemons: [daemon] })
    else if (known.daemons.length < MAX_DAEMONS_PER_REFUSAL && !known.daemons.includes(daemon)) known.daemons.push(daemon)
    this.#refusals = this.#refusals.slice(-MAX_REFUSALS)
  }

  /** Takes over the refusals that the previous relay stored, so that a change of relay loses none. */
  restoreRefusals (refusals: readonly AccountRefusal[]): void {
    const own = new Set(this.#refusals.map((refusal) => `${refusal.version} ${refusal.reason}`))
    const older = refusals.filter((refusal) => !own.has(`${refusal.version} ${refusal.reason}`))
    this.#refusals = [...older, ...this.#refusals].slice(-MAX_REFUSALS)
  }

  buildAccount (input: AccountInput): Account {
    const { dataCentre, at, token, members, expectedVersion } = input
    const inForce: Record<string, number> = {}
    const lagging: Account['lagging'] = []
    for (const daemon of members) {
      const report = this.#statuses.get(daemon)
      const held = report?.version ?? 0
      inForce[held] = (inForce[held] ?? 0) + 1
      if (held >= expectedVersion || lagging.length >= MAX_LAGGING_LISTED) continue
      lagging.push({ daemon, version: held, reason: laggingReason(held, report?.status) })
    }
    return { dataCentre, at, token, members: members.length, inForce, lagging, refusals: this.#refusals.slice() }
  }

  /** Drops the statuses of daemons that are no longer members. */
  retainMembers (members: ReadonlySet<string>): void {
    for (const daemon of this.#statuses.keys()) {
      if (!members.has(daemon)) this.#statuses.delete(daemon)
    }
  }
}

/** Why a daemon does not hold the expected version yet, for the account. */
function laggingReason (version: number, status: Status | undefined): string {
  if (!status) return 'no report from this daemon yet'
  if (status.refusedVersion > version) return `refused version ${status.refusedVersion}: ${status.refusedReason}`
  return 'version has not arrived yet'
}
