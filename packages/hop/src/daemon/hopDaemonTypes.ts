import type { Random, Timers } from '@lentilwheel/core'
import type { HeaderNames } from '../headers.js'
import type { CallLog } from '../observe/callLog.js'
import type { CallMetrics } from '../observe/callMetrics.js'
import type { ObjectStore } from '../store/objectStore.js'
import type { ResolvedHopConfig } from './resolvedHopConfig.js'
import type { StoreCodec } from './storeCodec.js'

export interface HopDaemonOptions {
  cfg: ResolvedHopConfig
  timers: Timers
  random: Random
  log: CallLog
  metrics: CallMetrics
  names: HeaderNames
  store: ObjectStore
  codec: StoreCodec
}

/** What became of a target's message. `unconfirmed`: it was handled, but what it says would be forgotten if all daemons restarted now. */
export type ReceiptOutcome = 'confirmed' | 'unconfirmed' | 'invalid'
