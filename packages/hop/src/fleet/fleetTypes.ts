import type { MoveFact, Random, Timers } from '@lentilwheel/core'
import type { BriefReport } from '@lentilwheel/moves'
import type { CallMessage, HopReply, SyncMessage } from '../link/messages.js'
import type { CallLog } from '../observe/callLog.js'
import type { MoveOrder } from '../rollout/order.js'
import type { ConfigDelta } from '../routing/configDelta.js'
import type { HostRecord, Leaving } from './records.js'

/** A link to a peer. */
export interface PeerLink {
  readonly isUp: boolean
  readonly target: { address: string, port: number }
  /** `bulky`: the request or its response may be large. */
  call (message: CallMessage, bulky: boolean, reply: (reply: HopReply) => void): () => void
  sync (message: SyncMessage): Promise<SyncMessage>
  /** What the configuration in force on the peer changes in version `have`; undefined when the peer holds none. */
  config (have: number): Promise<ConfigDelta | undefined>
  /** Called now and then, to keep the link up and to notice silence. */
  upkeep (): void
  close (): void
}

export interface FleetOptions {
  own: HostRecord
  timers: Timers
  random: Random
  log: CallLog
  openLink (host: string, address: string, port: number): PeerLink
  /** Records changed, or a peer was lost or reached again. */
  onChange (): void
  /** A peer holds a newer configuration version than this daemon. */
  onPeerVersion (): void
  /** Peers know of targets that left here before this daemon started. */
  onLeavings (leavings: readonly Leaving[]): void
  onFact (fact: MoveFact): void
  /** Orders of moves that this daemon knows. */
  orders (): MoveOrder[]
  onOrder (order: MoveOrder, from: string): void
  onReport (report: BriefReport): void
}
