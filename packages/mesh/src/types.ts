import type {
  Endpoint, EndpointView, EventLog, EvidenceReport, Logger, Metrics, MoveFact, MoveFacts, Random, TimelineEvent, Timers
} from '@lentilwheel/core'
import type { Snapshot } from '@lentilwheel/config'
import type { Account, PlatformClient } from '@lentilwheel/platform'
import type { MemberStatus } from './membership/memberTable.js'

/** Identity of a daemon in the mesh. */
export interface MeshIdentity {
  /** Unique in the fleet. */
  id: string
  /** IPv4 address at which other daemons reach this one. */
  address: string
  ports: MeshPorts
  dataCentre: string
  region: string
}

export interface MeshPorts {
  /** For TCP and UDP. */
  mesh: number
  proxy?: number
  admin?: number
}

/** Options of `createMesh`. */
export interface MeshOptions {
  identity: MeshIdentity
  /** Mesh addresses (`<IPv4>:<port>`) of some daemons through which this one joins; its own address is ignored. */
  seeds: readonly string[]
  /** Secret shared by all daemons; authenticates their messages. */
  meshKey: string | Uint8Array
  platform: PlatformClient
  timers: Timers
  random: Random
  metrics: Metrics
  log: Logger
  events: EventLog
}

/** A member as this daemon sees it. */
export interface MemberView {
  id: string
  address: string
  ports: Required<MeshPorts>
  dataCentre: string
  region: string
  status: MemberStatus
  isRelay: boolean
  /** Configuration version that was active there when it was last heard from; 0 before that. */
  version: number
}

/** Whether this daemon may serve calls, and why or why not. */
export interface Readiness {
  ready: boolean
  reason: string
}

/** Callbacks for changes; each is optional. */
export interface MeshListener {
  onSnapshot? (snapshot: Snapshot): void
  onEndpoints? (endpoints: readonly EndpointView[]): void
  onFact? (fact: MoveFact): void
  /** Only on the coordinator of the move. */
  onEvidence? (report: EvidenceReport): void
  onReadiness? (readiness: Readiness): void
}

/** The mesh as one daemon sees it. */
export interface Mesh {
  /** Opens the mesh port and starts to join; resolves before the daemon is ready. */
  start (): Promise<void>
  /** Tells the members that this daemon leaves, then closes. */
  stop (): Promise<void>
  snapshot (): Snapshot
  readiness (): Readiness
  /** All members, including this daemon. */
  members (): MemberView[]
  endpoints (): readonly EndpointView[]
  /** Sets the targets beside this daemon; a change of their state is pushed to all members. */
  setEndpoints (own: readonly Endpoint[]): void
  facts (): ReadonlyMap<string, MoveFacts>
  /** Merges a fact and pushes it to all members; the coordinator of the move writes it to the platform when it can. */
  publishFact (fact: MoveFact): void
  /** Sends a report to the coordinator of its move. */
  sendEvidence (report: EvidenceReport): void
  isCoordinator (move: string): boolean
  on (listener: MeshListener): void
  /** Events of one daemon, or of all that answer. */
  fetchEvents (daemon?: string): Promise<TimelineEvent[]>
  /** Current accounts of the data centres, read from their relays; works without the platform. */
  fetchAccounts (): Promise<Account[]>
}
