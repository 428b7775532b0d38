import type { BriefReport } from '@lentilwheel/moves'
import type { MoveOrder } from '../rollout/moveOrder.js'
import type { TrustedVersion } from '../rollout/trustedVersion.js'
import type { EvacuationRecord } from '../evacuation/evacuationRecord.js'
import type { Departure, HostRecord } from '../fleet/hostRecord.js'
import type { QuarantineNews } from '../quarantine/quarantineNews.js'
import type { MoveFact } from '@lentilwheel/core'
import type { FailureReason, NotRunReason } from './reasons.js'

// The messages that daemons exchange: calls, their replies, and the gossip about hosts, configuration and moves.

/** First message on a connection, as an address may have been given to another host since it was learned. */
export interface HelloMessage {
  /** Host whose daemon the sender wants; empty for any. */
  wantedHost: string
}

/** Which daemon a connection has reached. */
export type DaemonIdentity = Pick<HostRecord, 'host' | 'incarnation'>

/**
 * How an offered request may take a slot. `now`: only if a slot is free. `queue`: may wait for one. `ask`: only reports
 * whether a slot is free; sent without headers and body.
 */
export const OFFER_MODES = ['now', 'queue', 'ask'] as const
export type OfferMode = typeof OFFER_MODES[number]

/** A caller's request, sent by the daemon beside the caller to the daemon beside a target. */
export interface CallMessage {
  /** Identifies this attempt; unique across all daemons and their restarts. */
  key: string
  /** Id that the caller gave the request. */
  requestId: string
  /** Incarnation of the receiving daemon as known to the sender; a `settle` message for the call carries the same one. */
  incarnation: number
  mode: OfferMode
  service: string
  targetId: string
  route: string
  method: string
  url: string
  /** Alternating names and values, without hop-by-hop headers. */
  headers: string[]
  body: Uint8Array
  /** Milliseconds left until the deadline of the request. */
  deadlineMs: number
  targetLatencyMs: number
  /** Priority of the caller's workspace, or else of the route; 0 is the most urgent. */
  priority: number
  idempotent: boolean
  /** Whether a target sent the request while it handles another one that waits for the response. */
  nested: boolean
  /** Whether an earlier attempt of the request may have reached a target. */
  repeat: boolean
  /** Whether the sender knows that the request ran on a target that crashed. */
  suspect: boolean
  /** Workspace of the caller's key; absent if it has none, and for nested calls. */
  workspace?: string
  /** Limit on its requests per second that the sender last heard of the target; absent if it heard of none. */
  heardLimitPerS?: number
}

/** Load of a target as measured by the daemon beside it. */
export interface TargetLoad {
  targetId: string
  running: number
  queued: number
  slots: number
  /** Typical latency of the target, as a fraction of the target latency of the routes. */
  pace: number
  /** Estimated factor on `pace` at this moment, by what the target last reported of its machine; absent where a target doesn't tell. */
  slowdown?: number
  /** Share of recent requests that the target failed, 0 to 1. */
  failing: number
  /** Milliseconds for which the link of its host is taken by answers that wait and that running requests will have; absent for a wide link. */
  linkMs?: number
  /** Milliseconds that this link takes for a KiB; absent for a wide link. */
  linkMsPerKib?: number
  /** Most urgent priority at which callers' requests are being rejected; absent when none are. */
  pressedPriority?: number
  /** Share of the requests of that priority that is rejected, 0 to 1. */
  pressedShare?: number
  /** Requests per second that the target takes from all daemons; Infinity for no limit, absent while that is unknown. */
  limitPerS?: number
  /** Milliseconds for which the sender should make no more offers, because of that limit; absent for none. */
  limitedMs?: number
}

/** Time that an offered request spent at the daemon beside the target, in milliseconds: for a slot, and at the target. */
export interface HeldTimes {
  queuedMs: number
  ranMs: number
}

/** Outcome of an offered request; the times are absent where it did not run. */
export type HopReply = Partial<HeldTimes> & (
  /** `unframed`: the response had no length, so a truncated body can't be told from a complete one. */
  /** `departure`: the target said in the response that it leaves. */
  /** `isFinal`: a retry would fail likewise, as a call that the request makes is refused. */
  | { kind: 'response', status: number, headers: string[], body: Uint8Array, unframed: boolean, departure?: Departure, isFinal?: boolean, load?: TargetLoad }
  /** The target has not run the request, so it may be sent again. */
  | { kind: 'notRun', reason: NotRunReason, load?: TargetLoad }
  /** The target may have run the request. */
  | { kind: 'failed', reason: FailureReason, load?: TargetLoad }
)

/** Asks for the outcome of a call whose connection broke. Revokes the call if it has not started. */
export interface SettleMessage {
  key: string
  incarnation: number
}

/** Gossip between two daemons; the receiver answers with a message of the same type. */
export interface SyncMessage {
  from: string
  /** Active configuration version of the sender; 0 for none. */
  configVersion: number
  /** Newest epoch of the store that the sender knows of; 0 for none. */
  storeEpoch: number
  records: HostRecord[]
  facts: MoveFact[]
  /** Orders of moves, each with its revision in the store. */
  orders: MoveOrder[]
  /** Trusted versions of services; absent in messages that only push changes. */
  trustedVersions?: TrustedVersion[]
  /** Request results of the versions in a move, for the daemon that coordinates the move. */
  reports: BriefReport[]
  /** Whether the sender can't reach the store, so that another daemon has to watch in its place; absent for no. */
  isStoreLost?: boolean
  /** Orders to evacuate data centres and their removals; absent if there has been none. */
  evacuations?: EvacuationRecord[]
  /** What is new about requests that crash targets; absent for nothing. */
  quarantine?: QuarantineNews
  /** Digest of what the sender knows about them. A receiver that knows something else answers with everything; absent where that isn't wanted. */
  quarantineDigest?: string
  /**
   * Hash of all records, facts, orders, trusted versions and evacuations that the sender knows. A receiver whose hash differs answers with everything
   * that it knows. Absent in messages that only push changes.
   */
  digest?: string
}

/** Asks for credits of a workspace, each of which allows one request of its callers. */
export interface QuotaQuestion {
  workspace: string
  count: number
  /** Limit of the workspace in the configuration of the asker. */
  ratePerS: number
  burst: number
  /** Whether the credits are for callers that retry after a refusal. */
  isRepeat: boolean
}

/**
 * `direct`: the sender takes the receiver for the lender. `relayed`: the sender passes the questions on for another daemon, so the
 * receiver doesn't pass them on. `handover`: the receiver lent before, and the present lender can't lend yet.
 */
export const QUOTA_MODES = ['direct', 'relayed', 'handover'] as const
export type QuotaMode = typeof QUOTA_MODES[number]

/** Questions for the daemon that lends for their workspaces; the reply has one answer for each, in the same order. */
export interface QuotaMessage {
  mode: QuotaMode
  questions: QuotaQuestion[]
}

/**
 * `lent`: with fewer credits than asked for, `waitMs` tells when to ask again. `settling`: the daemon lends only after `waitMs`.
 * `notLender`: another daemon lends for the workspace.
 */
export type QuotaAnswer =
  | { kind: 'lent', count: number, waitMs: number }
  | { kind: 'settling', waitMs: number }
  | { kind: 'notLender' }

export const MAX_QUOTA_QUESTIONS = 256
/** Most credits in one answer. */
export const MAX_QUOTA_COUNT = 10_000

/** Fields without which a sync message is rejected. */
export const REQUIRED_SYNC_FIELDS = ['from', 'configVersion', 'storeEpoch', 'records', 'facts', 'orders', 'reports'] as const satisfies readonly (keyof SyncMessage)[]
