import type { Random, Timers } from '@lentilwheel/core'
import type { NotRunReason } from '../link/reasons.js'
import type { HeaderNames } from '../headers.js'
import type { Departure, TargetRecord } from '../fleet/hostRecord.js'
import type { CallMessage, HeldTimes, HopReply, TargetLoad } from '../link/messages.js'
import type { CallLog } from '../observe/callLog.js'
import type { RequestResult } from '../rollout/resultAggregator.js'
import type { SlotRequest } from './admission.js'
import type { CrashGuardOptions } from './crashGuard.js'
import type { LinkForecast } from './linkForecast.js'
import type { TargetClient } from './nodeTargetClient.js'
import type { TargetResult } from './targetResult.js'

/** What the inbound side of a daemon needs of the rest of it. */
export interface InboundOptions {
  timers: Timers
  random: Random
  log: CallLog
  names: HeaderNames
  client: TargetClient
  link: LinkForecast
  /** Current record of the target; undefined when there is none. */
  target (): TargetRecord | undefined
  /** Whether the target has missed an announcement. */
  isAnnouncementOverdue (): boolean
  /** Incarnation of this daemon, which increases with each start. */
  incarnation (): number
  /** Whether a request for the target's version may be started. */
  isVersionAllowed (service: string, version: string): boolean
  /** Share of the requests more urgent than `priority` that a service currently rejects, as far as this daemon knows. */
  rejectionRate (service: string, priority: number): number
  /** Requests per second that a cold target of the service tolerates; undefined for no limit. */
  coldPerS (service: string): number | undefined
  /** Whether targets of this data centre get no requests now; absent for never. */
  isEvacuated? (): boolean
  /** Whether the target counts as cold until it announces itself again; absent for never. */
  isPresumedCold? (): boolean
  /** Limit on the replies that are kept for senders that lost their connection; absent for the default. */
  maxRetainedBytes?: number
  /** What is known about requests that crash targets. */
  quarantine: CrashGuardOptions['quarantine']
  /** Called when the target says in a response that it leaves. */
  onTargetLeaving (departure: Departure): void
  /** Called when an offer of a route is rejected. */
  onRefusal (route: string, reason: NotRunReason): void
  /** Called when the target has crashed. */
  onTargetCrash (): void
  /** Called with each result of a request to the target, from which versions are judged. */
  onResult (target: TargetRecord, result: RequestResult): void
}

/** An admitted call that has not ended. */
export interface InboundCall {
  message: CallMessage
  /** The target as it was when the call arrived. */
  target: TargetRecord
  slotRequest: SlotRequest
  state: 'queued' | 'running'
  startedAt: number
  /** How much the target was slowed down when it started. */
  slowdownAtStart: number
  /** Milliseconds that it ran on the target; 0 until it has ended. */
  ranMs: number
  /** Tells the forecast of the link that it has ended; set once the call runs. */
  endOnLink?: ReturnType<LinkForecast['start']>
  /** Aborts the request to the target; set once the call runs. */
  abort?: () => void
}

/** The slot that a call asks for, which arrives now. */
export function slotRequestOf ({ key, nested, priority, targetLatencyMs, deadlineMs, workspace }: CallMessage, deliveryMs: number, now: number): SlotRequest {
  return { key, nested, priority, targetLatencyMs, deadlineAt: now + deadlineMs, arrivedAt: now, deliveryMs, ...workspace === undefined ? {} : { workspace } }
}

/** Whether the connection to the target broke while the request ran there. */
export function isConnectionLost (result: TargetResult): boolean {
  return result.kind === 'failed' && (result.reason === 'reset' || result.reason === 'cut')
}

/** How long a call that ran waited for its slot, and ran. */
export function heldTimes ({ slotRequest, startedAt, ranMs }: InboundCall): HeldTimes {
  return { queuedMs: Math.round(startedAt - slotRequest.arrivedAt), ranMs: Math.round(ranMs) }
}

/** The reply to the sender; it gets to know whether the target leaves together with the response that says so. */
export function replyOf ({ target }: InboundCall, result: TargetResult, isFinal: boolean): HopReply {
  if (result.kind === 'failed') return result
  if (result.kind === 'notRun') return { kind: 'notRun', reason: result.reason }
  const { kind, status, headers, body, unframed, statement } = result
  return { kind, status, headers, body, unframed, ...statement.isLeaving ? { departure: departureOf(target) } : {}, ...isFinal && status >= 500 ? { isFinal } : {} }
}

/** Links that take less for a KiB (over 160 Mbit/s) are no resource to place requests by. */
const MIN_MS_PER_KIB = 0.05
const NO_LINK_LOAD = {}

/** What daemons are told of the link of this host; nothing if it is wide. */
export function linkLoad (link: LinkForecast): Pick<TargetLoad, 'linkMs' | 'linkMsPerKib'> {
  return link.msPerKib < MIN_MS_PER_KIB ? NO_LINK_LOAD : { linkMs: link.aheadMs, linkMsPerKib: link.msPerKib }
}

export function departureOf ({ id, startedAt }: TargetRecord): Departure {
  return { id, startedAt, state: 'draining' }
}
