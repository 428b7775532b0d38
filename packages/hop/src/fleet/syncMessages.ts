import { createHash } from 'node:crypto'
import type { SyncMessage } from '../link/messages.js'
import { formatRevision } from '../store/storeRevision.js'
import type { FleetOptions } from './fleetTypes.js'
import type { HostRecord } from './hostRecord.js'
import type { HostTable } from './hostTable.js'
import type { MoveFactSet } from './moveFactSet.js'
import type { PeerStates } from './peerStates.js'
import type { WatchDuty } from './watchDuty.js'

/** What a daemon knows and tells its peers. */
export interface Knowledge {
  opts: FleetOptions
  table: HostTable
  facts: MoveFactSet
  peers: PeerStates
  watchDuty: WatchDuty
}

/** Puts together the messages in which a daemon tells its peers what it knows. */
export class SyncMessages {
  readonly #known: Knowledge

  constructor (known: Knowledge) {
    this.#known = known
  }

  /** A message with no content except what every message tells: the active configuration version, the store's epoch and evacuations. */
  empty (): SyncMessage {
    const { opts, table: { own: { host } }, watchDuty, peers } = this.#known
    const reach = watchDuty.isStoreLost(host) ? { isStoreLost: true } : {}
    const evacuations = opts.evacuations?.records() ?? []
    return { ...reach, ...evacuations.length > 0 ? { evacuations } : {}, from: host, configVersion: peers.configVersionOf(host), storeEpoch: opts.epochs.current, records: [], facts: [], orders: [], reports: [] }
  }

  /** A message with the given records and all facts and orders; without a digest, so no full reply is requested. */
  update (records: HostRecord[]): SyncMessage {
    return { ...this.empty(), records, facts: this.#known.facts.all(), orders: this.#known.opts.orders() }
  }

  /** The first message to a peer, which may have just started. */
  welcome (): SyncMessage {
    return { ...this.update([this.#known.table.own]), trustedVersions: this.#known.opts.trustedVersions(), ...this.quarantineQuestion() }
  }

  /** A message with everything known here. */
  full (): SyncMessage {
    return { ...this.update(this.#known.table.all()), trustedVersions: this.#known.opts.trustedVersions() }
  }

  /** Makes the receiver answer with what it knows about requests that crash targets, if it knows something else. */
  quarantineQuestion (): Pick<SyncMessage, 'quarantineDigest'> {
    return { quarantineDigest: this.#known.opts.quarantine.digest() }
  }

  /** Fingerprint of all records, facts, orders, trusted versions and evacuations known here; equal on daemons that know the same. */
  digest (): string {
    const { opts, table, facts } = this.#known
    const factLines = facts.all().map((fact) => JSON.stringify(fact)).sort()
    const orders = opts.orders().map(({ id, revision }) => `${id} ${formatRevision(revision)}`).sort()
    const versions = opts.trustedVersions().map(({ service, version, since }) => `${service} ${version} ${formatRevision(since)}`).sort()
    const lines = [table.digest(), ...factLines, ...orders, ...versions, ...opts.evacuations?.digestLines() ?? []]
    return createHash('sha1').update(lines.join('\n')).digest('base64')
  }
}
