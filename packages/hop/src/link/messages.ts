import type { BriefReport } from '@lentilwheel/moves'
import type { MoveOrder } from '../rollout/order.js'
import type { HostRecord } from '../fleet/records.js'
import type { MoveFact } from '@lentilwheel/core'

/** `now`: only if a slot is free; `queue`: may wait for one; `ask`: whether a slot is free, without headers and body. */
export const OFFER_MODES = ['now', 'queue', 'ask'] as const
export type OfferMode = typeof OFFER_MODES[number]

/** A request as the daemon of the caller offers it to the daemon beside a target. */
export interface CallMessage {
  /** Unique over all daemons and their incarnations. */
  key: string
  /** The caller's id of the request. */
  requestId: string
  /** Incarnation of the receiving daemon that the sender knows; settling asks the same one. */
  incarnation: number
  mode: OfferMode
  service: string
  targetId: string
  route: string
  method: string
  url: string
  /** Names and values, flat, without those that concern one connection. */
  headers: string[]
  body: Uint8Array
  /** Milliseconds left for the request. */
  deadlineMs: number
  targetLatencyMs: number
  priority: number
  idempotent: boolean
  /** Whether the caller is a target itself, with a request of its own that waits for this one. */
  nested: boolean
  /** Whether an earlier attempt of the request may have reached a target. */
  repeat: boolean
}

/** Load of a target as the daemon beside it sees it. */
export interface TargetLoad {
  targetId: string
  running: number
  queued: number
  slots: number
  /** Typical latency of the target as a part of the routes' target latency. */
  pace: number
  /** Share of recent requests that the target failed, 0 to 1. */
  failing: number
  /** Most urgent priority of callers' requests that is turned away at present, and which part of them. */
  pressedPriority?: number
  pressedShare?: number
}

/**
 * `displacing`: the calls that the request makes would take the place of more urgent requests elsewhere.
 * `vacant`: a slot is free, as far as was asked.
 */
export const NOT_RUN_REASONS = [
  'busy', 'displacing', 'noTarget', 'otherTarget', 'draining', 'expired', 'shed', 'unreachable', 'revoked', 'stopping', 'unsent', 'vacant'
] as const
export type NotRunReason = typeof NOT_RUN_REASONS[number]

/** `unbounded`: the target sent more than an answer may have. */
export const FAILURE_REASONS = ['reset', 'cut', 'garbled', 'unbounded', 'timeout', 'lost', 'cancelled'] as const
export type FailureReason = typeof FAILURE_REASONS[number]

/** How an offered request ended. */
export type HopReply =
  /** `unframed`: the target gave no length, so nothing shows whether the body is whole. */
  | { kind: 'response', status: number, headers: string[], body: Uint8Array, unframed: boolean, load?: TargetLoad }
  | { kind: 'notRun', reason: NotRunReason, load?: TargetLoad }
  /** The target may have run the request. */
  | { kind: 'failed', reason: FailureReason, load?: TargetLoad }

/** Asks how a call ended whose connection broke; a call that has not started is revoked by it. */
export interface SettleMessage {
  key: string
  incarnation: number
}

/** Exchange of what two daemons know. */
export interface SyncMessage {
  from: string
  /** Configuration version in force on the sender; 0 for none. */
  configVersion: number
  records: HostRecord[]
  facts: MoveFact[]
  /** Orders of moves, by their revision in the store. */
  orders: MoveOrder[]
  /** Results of versions in a move, for the daemon that coordinates it. */
  reports: BriefReport[]
  /** Fingerprint of all that the sender knows; a receiver with another one answers with its table. Absent in mere news. */
  digest?: string
}

/** Fields that every exchange has. */
export const SYNC_FIELDS = ['from', 'configVersion', 'records', 'facts', 'orders', 'reports'] as const satisfies readonly (keyof SyncMessage)[]
