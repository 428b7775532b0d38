import { VirtualTimers } from '@lentilwheel/core'
import type { HeaderNames } from '../headers.js'
import { runAfterReading, type LoopLag } from '../daemon/nodeLoopLag.js'
import type { FleetOptions } from '../fleet/fleetTypes.js'
import type { HostRecord, TargetRecord } from '../fleet/hostRecord.js'
import { SendQueue } from '../link/sendQueue.js'
import { NoopCallLog } from '../observe/callLog.js'
import { Quarantine, type QuarantineOptions } from '../quarantine/quarantine.js'
import type { MeshRoute } from '../routing/meshConfig.js'

// Values that several tests of the call path start from.

/** Header names of the tests; their values differ from those of any platform. */
export const TEST_HEADERS: HeaderNames = {
  requestId: 'x-id',
  deadline: 'x-deadline',
  expectedTarget: 'x-expected',
  notRun: 'x-not-run',
  load: 'x-load',
  limit: 'x-limit',
  leaving: 'x-leaving',
  callerService: 'x-caller',
  workspace: 'x-workspace',
  signature: 'x-sig'
}

/** An event loop that is never behind. */
export const NO_LAG: Pick<LoopLag, 'whenRead'> = { whenRead: (fn) => fn() }

/** An event loop that is always behind. */
export const ALWAYS_BEHIND: Pick<LoopLag, 'whenRead'> = { whenRead: runAfterReading }

/** The queue of a link without limits. */
export function unlimitedQueue (): SendQueue {
  return new SendQueue({ timers: new VirtualTimers(), bytesPerMs: Infinity })
}

/** Route to the service of `testHost`. */
export const TEST_ROUTE: MeshRoute = {
  name: 'r', host: 'h', pathPrefix: '/', parts: [{ service: 's', weight: 1 }], idempotent: true, bulky: false, timeoutMs: 1_200, targetLatencyMs: 600, priority: 1, maxAttempts: 2, allowsAnonymous: false
}

/** A quarantine of a daemon that tells nobody what is new in it. */
export function testQuarantine (timers: QuarantineOptions['timers'], overrides: Partial<QuarantineOptions> = {}): Quarantine {
  return new Quarantine({ timers, log: new NoopCallLog(), idPrefix: () => 'own', onNews: () => {}, onRefused: () => {}, onBlocked: () => {}, onUnblocked: () => {}, ...overrides })
}

/** What a fleet reports and asks for, of which a test needs nothing. */
export const NO_FLEET_EVENTS: Pick<FleetOptions, 'onChange' | 'onNewerPeerVersion' | 'onWatchersChange' | 'onDepartures' | 'onFact' | 'orders' | 'onOrder' | 'onReport' | 'trustedVersions' | 'onTrustedVersions'> = {
  onChange: () => {},
  onNewerPeerVersion: () => {},
  onWatchersChange: () => {},
  onDepartures: () => {},
  onFact: () => {},
  orders: () => [],
  onOrder: () => {},
  onReport: () => {},
  trustedVersions: () => [],
  onTrustedVersions: () => {}
}

/** Record of a host whose target is ready; the target is named after the host. */
export function testHost (name: string, dataCentre = 'dc', target: Partial<TargetRecord> = {}): HostRecord {
  return {
    host: name,
    dataCentre,
    address: '10.0.0.1',
    port: 1,
    incarnation: 1,
    sequence: 1,
    stopping: false,
    target: { id: `t-${name}`, startedAt: 1_000, service: 's', version: 'v1', slots: 6, state: 'ready', coldMs: 0, ...target }
  }
}
