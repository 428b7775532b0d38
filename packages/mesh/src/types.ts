import type {
  Endpoint, EndpointView, EventLog, EvidenceReport, Logger, Metrics, MoveFact, MoveFacts, Random, TimelineEvent, Timers
} from '@lentilwheel/core'
import type { Snapshot } from '@lentilwheel/config'
import type { Account, PlatformClient } from '@lentilwheel/platform'
import type { MemberStatus } from './membership/table.js'

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
  /** TCP and UDP. */
  mesh: number
  proxy?: number
  admin?: number
}

export interface MeshOptions {
  identity: MeshIdentity
  /** Mesh addresses (`<IPv4>:<port>`) of some other daemons; the own one is passed over. */
  seeds: readonly string[]
  /** Key that all daemons share. */
  meshKey: string | Uint8Array
  platform: PlatformClient
  timers: Timers
  random: Random
  metrics: Metrics
  log: Logger
  events: EventLog
}

export interface MemberView {
  id: string
  address: string
  ports: Required<MeshPorts>
  dataCentre: string
  region: string
  status: MemberStatus
  isRelay: boolean
  /** Version it held when last heard from; 0 before that. */
  version: number
}

export interface Readiness {
  ready: boolean
  reason: string
}

/** Callbacks for what changes; each is optional. */
export interface MeshListener {
  onSnapshot? (snapshot: Snapshot): void
  onEndpoints? (endpoints: readonly EndpointView[]): void
  onFact? (fact: MoveFact): void
  /** Only on the coordinator of the move. */
  onEvidence? (report: EvidenceReport): void
  onReadiness? (readiness: Readiness): void
}

export interface Mesh {
  /** Opens the mesh port and begins to join; resolves before the daemon is ready. */
  start (): Promise<void>
  /** Announces leaving, then closes. */
  stop (): Promise<void>
  snapshot (): Snapshot
  readiness (): Readiness
  /** All members, this daemon included. */
  members (): MemberView[]
  endpoints (): readonly EndpointView[]
  /** The targets beside this daemon; pushed at once. */
  setEndpoints (own: readonly Endpoint[]): void
  facts (): ReadonlyMap<string, MoveFacts>
  /** Merges, pushes to all, and is recorded on the platform when possible. */
  publishFact (fact: MoveFact): void
  /** To the coordinator of the report's move. */
  sendEvidence (report: EvidenceReport): void
  isCoordinator (move: string): boolean
  on (listener: MeshListener): void
  /** Events of one daemon, or of all that answer. */
  fetchEvents (daemon?: string): Promise<TimelineEvent[]>
  /** Accounts of the data centres as their relays hold them now; works without the platform. */
  fetchAccounts (): Promise<Account[]>
}
