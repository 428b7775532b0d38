import { create } from '@bufbuild/protobuf'
import type { Account, AccountRefusal } from '@lentilwheel/platform'
import { MAX_LAGGING_NAMED, MAX_REFUSALS, MAX_REFUSING_NAMED } from '../constants.js'
import { StatusSchema, type Status } from '../gen/mesh_pb.js'

export interface AccountInput {
  dataCentre: string
  at: number
  token: number
  /** Ids of the members of the data centre. */
  members: readonly string[]
  /** Version that should be in force. */
  version: number
}

/** Statuses of the daemons of a data centre, as its relay gathers them. */
export class StatusCollector {
  readonly #statuses = new Map<string, { version: number, status: Status }>()
  #refusals: AccountRefusal[] = []

  report (daemon: string, version: number, status: Status, now: number): void {
    const before = this.#statuses.get(daemon)?.status
    this.#statuses.set(daemon, { version, status })
    if (status.refusedVersion === 0 || status.refusedVersion === before?.refusedVersion) return
    const { refusedVersion, refusedChange: changeId, refusedReason: reason } = status
    this.refuse({ version: refusedVersion, changeId, reason }, daemon, now)
  }

  /** Takes the version from a message of any kind; its report may have been lost. */
  saw (daemon: string, version: number): void {
    const status = this.#statuses.get(daemon)?.status ?? create(StatusSchema)
    this.#statuses.set(daemon, { version, status })
  }

  /** Notes a refusal of a daemon, or of the relay itself. */
  refuse (refusal: Pick<AccountRefusal, 'version' | 'changeId' | 'reason'>, daemon: string, now: number): void {
    const known = this.#refusals.find((other) => other.version === refusal.version && other.reason === refusal.reason)
    if (!known) this.#refusals.push({ ...refusal, at: now, daemons: [daemon] })
    else if (known.daemons.length < MAX_REFUSING_NAMED && !known.daemons.includes(daemon)) known.daemons.push(daemon)
    this.#refusals = this.#refusals.slice(-MAX_REFUSALS)
  }

  /** Takes over what the relay before stored, so that a change of relay loses no refusal. */
  inherit (refusals: readonly AccountRefusal[]): void {
    const own = new Set(this.#refusals.map((refusal) => `${refusal.version} ${refusal.reason}`))
    const older = refusals.filter((refusal) => !own.has(`${refusal.version} ${refusal.reason}`))
    this.#refusals = [...older, ...this.#refusals].slice(-MAX_REFUSALS)
  }

  account (input: AccountInput): Account {
    const { dataCentre, at, token, members, version } = input
    const inForce: Record<string, number> = {}
    const lagging: Account['lagging'] = []
    for (const daemon of members) {
      const report = this.#statuses.get(daemon)
      const held = report?.version ?? 0
      inForce[held] = (inForce[held] ?? 0) + 1
      if (held >= version || lagging.length >= MAX_LAGGING_NAMED) continue
      lagging.push({ daemon, version: held, reason: reasonOf(held, report?.status) })
    }
    return { dataCentre, at, token, members: members.length, inForce, lagging, refusals: this.#refusals.slice() }
  }

  /** Forgets daemons that are members no more. */
  retain (members: ReadonlySet<string>): void {
    for (const daemon of this.#statuses.keys()) {
      if (!members.has(daemon)) this.#statuses.delete(daemon)
    }
  }
}

function reasonOf (version: number, status: Status | undefined): string {
  if (!status) return 'no report from this daemon yet'
  if (status.refusedVersion > version) return `refused version ${status.refusedVersion}: ${status.refusedReason}`
  return 'version has not arrived yet'
}
