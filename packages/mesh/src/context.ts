import type { Snapshot } from '@lentilwheel/config'
import type { MoveFact } from '@lentilwheel/core'
import type { SnapshotStore, VersionRefusal } from './dissemination/snapshotStore.js'
import type { TreeBroadcaster } from './dissemination/treeBroadcaster.js'
import type { FactStore } from './facts/factStore.js'
import type { VersionFloor } from './floor/versionFloor.js'
import type { Record as MemberRecord, Suspicion } from './gen/mesh_pb.js'
import type { GossipQueue } from './membership/gossipQueue.js'
import type { MemberTable } from './membership/memberTable.js'
import type { MeshOptions } from './types.js'
import type { Messenger } from './wire/messenger.js'

/** How a daemon obtained a version; decides whether it pushes the version on and sends notices. */
export type SnapshotSource = 'push' | 'pull' | 'notice' | 'head'

/** State and helpers shared by the components of one daemon's mesh; implemented by `MeshState`. */
export interface MeshContext {
  opts: MeshOptions
  table: MemberTable
  snapshots: SnapshotStore
  facts: FactStore
  floor: VersionFloor
  gossip: GossipQueue
  messenger: Messenger
  broadcaster: TreeBroadcaster
  isStopped (): boolean
  /** Runs a task in the background; its errors are counted, and unexpected ones are logged too. */
  runInBackground (task: Promise<unknown>): void
  /** Merges records of peers; new records that came by `gossip` are passed on, records of a `transfer` aren't. */
  mergeRecords (records: readonly MemberRecord[], kind: 'gossip' | 'transfer'): void
  mergeSuspicions (suspicions: readonly Suspicion[]): void
  mergeFacts (facts: readonly MoveFact[]): void
  /** Changes this daemon's own record and pushes it to all members. */
  changeSelf (change: Partial<MemberRecord>): void
  /** Called after this daemon applied a version. */
  onVersionApplied (snapshot: Snapshot, source: SnapshotSource): void
  /** Called after a version failed its checks here and was not applied. */
  onVersionRefused (refusal: VersionRefusal): void
  /** A relay of another data centre sent a notice of this version. */
  onNotice (version: number): void
}
