import type { Random, Timers } from '@lentilwheel/core'
import type { Fleet } from '../fleet/fleet.js'
import type { InboundDesk } from '../inbound/inboundDesk.js'
import type { RequestOrigin } from '../inbound/targetRuns.js'
import type { HeaderNames } from '../inbound/targetResult.js'
import type { HopReply } from '../link/messages.js'
import type { CallLog } from '../observe/callLog.js'
import type { CallMetrics } from '../observe/callMetrics.js'
import type { VersionChooser } from '../rollout/versionRules.js'
import type { Placer } from './placer.js'
import type { OutboundHead } from './requestHead.js'
import type { ResponseSizes } from './responseSizes.js'
import type { RetryBudget } from './retryBudget.js'

/** A caller's request, read whole. */
export interface OutboundRequest {
  method: string
  url: string
  head: OutboundHead
  body: Uint8Array
  origin: RequestOrigin
}

/** The caller's side of a request; one of these is called, once. */
export interface Responder {
  answer (reply: Extract<HopReply, { kind: 'response' }>): void
  refuse (status: number, reason: string, retryAfterMs?: number): void
}

export interface OutboundOptions {
  timers: Timers
  random: Random
  log: CallLog
  metrics: CallMetrics
  names: HeaderNames
  fleet: Fleet
  desk: InboundDesk
  placer: Placer
  budget: RetryBudget
  sizes: ResponseSizes
  versions: VersionChooser
  /** Service on this host; undefined when it has none. */
  callerService (): string | undefined
}
