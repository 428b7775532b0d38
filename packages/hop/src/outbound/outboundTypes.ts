import type { Random, Timers } from '@lentilwheel/core'
import type { HeaderNames } from '../headers.js'
import type { Fleet } from '../fleet/fleet.js'
import type { InboundHandler } from '../inbound/inboundHandler.js'
import type { RequestOrigin } from '../inbound/runningRequests.js'
import type { HopReply } from '../link/messages.js'
import type { CallLog } from '../observe/callLog.js'
import type { CallMetrics } from '../observe/callMetrics.js'
import type { TrafficSummary } from '../observe/trafficSummary.js'
import type { Quarantine } from '../quarantine/quarantine.js'
import type { QuotaGate } from '../quota/quotaGate.js'
import type { VersionChooser } from '../rollout/versionRules.js'
import type { LoadBalancer } from './loadBalancer.js'
import type { Hedging } from './hedging.js'
import type { RequestHead } from './requestHead.js'
import type { ResponseSizes } from './responseSizes.js'
import type { RetryBudget } from './retryBudget.js'

/** A caller's request, read completely. */
export interface CallerRequest {
  method: string
  url: string
  head: RequestHead
  body: Uint8Array
  origin: RequestOrigin
}

export type ForwardedResponse = Extract<HopReply, { kind: 'response' }>

/** Responds to the caller: exactly one of the methods is called, once; `reject` also after `respond` has failed. */
export interface Responder {
  /** Passes on the response of a target when its turn comes by its urgency; throws NotForwardable if HTTP doesn't allow it. */
  respond (reply: ForwardedResponse, urgency: number): void
  /** Responds with a status and a reason of the daemon itself, because no target's response can be passed on. */
  reject (status: number, reason: string, retryAfterMs?: number): void
}

/** What the outbound side of a daemon needs of the rest of it. */
export interface OutboundOptions {
  timers: Timers
  random: Random
  log: CallLog
  metrics: CallMetrics
  names: HeaderNames
  fleet: Fleet
  inbound: InboundHandler
  loadBalancer: LoadBalancer
  budget: RetryBudget
  hedging: Pick<Hedging, 'policy'>
  sizes: ResponseSizes
  traffic: Pick<TrafficSummary, 'record' | 'recordWorkspace'>
  versions: VersionChooser
  /** What is known about requests that crash targets. */
  quarantine: Pick<Quarantine, 'isEmpty' | 'standing' | 'crashes' | 'refusedMs'>
  quota: QuotaGate
  /** Service of the target on this host; undefined when there is none. */
  callerService (): string | undefined
}
