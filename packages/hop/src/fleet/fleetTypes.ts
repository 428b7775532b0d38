import type { MoveFact, Random, Timers } from '@lentilwheel/core'
import type { BriefReport } from '@lentilwheel/moves'
import type { Evacuations } from '../evacuation/evacuations.js'
import type { CallMessage, HopReply, QuotaAnswer, QuotaMessage, SyncMessage } from '../link/messages.js'
import type { CallLog } from '../observe/callLog.js'
import type { MoveOrder } from '../rollout/moveOrder.js'
import type { TrustedVersion } from '../rollout/trustedVersion.js'
import type { ConfigDelta } from '../routing/configDelta.js'
import type { Quarantine } from '../quarantine/quarantine.js'
import type { EpochTracker } from '../store/epochTracker.js'
import type { HostRecord, Departure } from './hostRecord.js'

/** Connection to the daemon of another host, opened again when it breaks. */
export interface PeerLink {
  /** Whether the peer is connected and has proved that it is the daemon of its host. */
  readonly isUp: boolean
  /** Whether the last attempt to connect showed that the peer doesn't run: its host refused it, or another host has the address now. */
  readonly isRefused: boolean
  readonly endpoint: { address: string, port: number }
  /**
   * Offers a request to the peer; returns a function that cancels it. `bulky`: the request or its response may be large.
   * `onAnswered`: called if the reply is ready but waits for the link of the peer's host.
   */
  call (message: CallMessage, bulky: boolean, reply: (reply: HopReply) => void, onAnswered: () => void): () => void
  /** Exchanges what the two daemons know; resolves to the peer's reply. */
  sync (message: SyncMessage): Promise<SyncMessage>
  /** Fetches the delta from `heldVersion` to the active configuration of the peer; undefined if the peer has none. */
  fetchConfig (heldVersion: number): Promise<ConfigDelta | undefined>
  /** Asks for credits of workspaces; calls `done` once, with undefined if the connection broke or the reply is invalid. */
  askQuota (message: QuotaMessage, done: (answers: readonly QuotaAnswer[] | undefined) => void): void
  /** Asks which of the hosts' daemons the peer can reach; calls `done` once, like `askQuota`. */
  askReach (hosts: readonly string[], done: (reached: readonly boolean[] | undefined) => void): void
  /** Reconnects a broken link and pings a silent one; called periodically. */
  keepAlive (): void
  /** Connects at once if the link is down, as the peer has been heard of. */
  reopen (): void
  /** Pings the peer if it has been silent for a moment. */
  check (): void
  close (): void
}

/** What `Fleet` needs, and the callbacks by which it reports changes and what peers send. */
export interface FleetOptions {
  /** Record of this daemon. */
  own: HostRecord
  timers: Timers
  random: Random
  log: CallLog
  openLink (host: string, address: string, port: number): PeerLink
  /** Called when records changed or a peer became reachable or unreachable. */
  onChange (): void
  /** Called when the active configuration of a peer is newer than that of this daemon. */
  onNewerPeerVersion (): void
  /** Called when other daemons than before may have to watch the store. */
  onWatchersChange (): void
  /** Called with departures of the own host as peers remember them; this daemon may have lost them in a restart. */
  onDepartures (departures: readonly Departure[]): void
  onFact (fact: MoveFact): void
  /** Orders of moves that this daemon knows, for messages to peers. */
  orders (): MoveOrder[]
  /** `from`: host of the peer that sent the order. */
  onOrder (order: MoveOrder, from: string): void
  onReport (report: BriefReport): void
  /** Trusted versions of services that this daemon knows, for messages to peers. */
  trustedVersions (): TrustedVersion[]
  onTrustedVersions (versions: readonly TrustedVersion[]): void
  /** Epoch of the store as far as known, which spreads with every message. */
  epochs: EpochTracker
  /** Which data centres are evacuated, which spreads with every message; absent where there are no evacuations. */
  evacuations?: Pick<Evacuations, 'records' | 'digestLines' | 'merge'>
  /** What is known about requests that crash targets, which daemons compare in their exchanges. */
  quarantine: Pick<Quarantine, 'all' | 'digest' | 'merge'>
}
