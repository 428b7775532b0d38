import type { Timers } from '@lentilwheel/core'
import type { BufferBudget } from '../buffers/bufferBudget.js'
import type { Evacuations } from '../evacuation/evacuations.js'
import type { Fleet } from '../fleet/fleet.js'
import type { InboundHandler } from '../inbound/inboundHandler.js'
import type { NodeHopServer } from '../link/nodeHopServer.js'
import type { SendQueue } from '../link/sendQueue.js'
import type { CallLog } from '../observe/callLog.js'
import type { CallMetrics } from '../observe/callMetrics.js'
import type { NodeOutboundServer } from '../outbound/nodeOutboundServer.js'
import type { TrafficSummary } from '../observe/trafficSummary.js'
import type { Quarantine } from '../quarantine/quarantine.js'
import type { FleetQuotaGate } from '../quota/fleetQuotaGate.js'
import type { ObjectStore } from '../store/objectStore.js'
import { processorMs } from './nodeProcessorTime.js'

/** The parts of a daemon whose state is reported. */
export interface ReportedParts {
  timers: Timers
  log: CallLog
  metrics: CallMetrics
  store: ObjectStore
  fleet: Fleet
  inbound: InboundHandler
  hopServer: NodeHopServer
  outboundServer: Pick<NodeOutboundServer, 'connections'>
  budget: Pick<BufferBudget, 'totalBytes'>
  queue: SendQueue
  quarantine: Quarantine
  evacuations: Evacuations
  traffic: TrafficSummary
  quota: FleetQuotaGate
}

const METRICS_INTERVAL_MS = 1_000
const TRAFFIC_LOG_INTERVAL_MS = 5_000
/** Value of the metric for the limit of a target that states none. */
const NO_LIMIT = -1

/** Periodically reports what there is of each resource, as metrics, and with what requests met as a log line. */
export class ResourceReport {
  readonly #parts: ReportedParts

  constructor (parts: ReportedParts) {
    this.#parts = parts
  }

  start (): void {
    const { timers } = this.#parts
    timers.every(METRICS_INTERVAL_MS, () => this.#setMetrics())
    timers.every(TRAFFIC_LOG_INTERVAL_MS, () => this.#logTraffic())
  }

  #setMetrics (): void {
    const { metrics, store, fleet, inbound, quarantine, evacuations } = this.#parts
    const { queued, slots } = inbound.occupancy
    const { suspects, blocked } = quarantine.counts
    const { limitPerS, sent } = inbound.rate
    metrics.state('peersUp', fleet.live().length - 1)
    metrics.state('running', inbound.active)
    metrics.state('queued', queued)
    metrics.state('slots', slots)
    metrics.state('unsentBytes', this.#unsentBytes)
    metrics.state('heldBytes', this.#parts.budget.totalBytes)
    metrics.state('callers', this.#parts.outboundServer.connections)
    metrics.state('processorMs', processorMs())
    metrics.state('storeEpoch', store.epochs.current)
    metrics.state('suspects', suspects)
    metrics.state('blocked', blocked)
    metrics.state('evacuated', evacuations.count)
    metrics.state('targetLimit', limitPerS === Infinity ? NO_LIMIT : limitPerS)
    metrics.state('targetSent', sent)
    metrics.state('targetSlowdown', inbound.slowdown ?? 1)
    this.#setQuotaMetrics()
  }

  #setQuotaMetrics (): void {
    const { metrics, quota } = this.#parts
    if (!quota.isUsed) return
    const { granted, exceeded, unknown, questions, lent, buckets } = quota.counts
    metrics.state('quotaGranted', granted)
    metrics.state('quotaExceeded', exceeded)
    metrics.state('quotaUnknown', unknown)
    metrics.state('quotaQuestions', questions)
    metrics.state('quotaLent', lent)
    metrics.state('quotaBuckets', buckets)
  }

  /** Logs where requests waited since the last time; nothing if there were none. */
  #logTraffic (): void {
    const { log, inbound, traffic } = this.#parts
    const routes = traffic.take()
    const workspaces = traffic.takeWorkspaces()
    if (!routes && !workspaces) return
    log.decision('traffic', { ...inbound.occupancy, running: inbound.active, slowdown: inbound.slowdown, unsentBytes: this.#unsentBytes, processorMs: processorMs(), routes, workspaces })
  }

  /** Bytes that wait for the link, or that connections to other daemons have not taken yet. */
  get #unsentBytes (): number {
    const { queue, hopServer } = this.#parts
    return queue.backlogBytes + hopServer.unsentBytes
  }
}
