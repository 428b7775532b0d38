import type { Snapshot } from '@lentilwheel/config'
import type { MoveFact } from '@lentilwheel/core'
import type { ConfigHolder, Refusal } from './dissemination/holder.js'
import type { Spreader } from './dissemination/spreader.js'
import type { FactStore } from './facts/factStore.js'
import type { VersionFloor } from './floor/versionFloor.js'
import type { Record as MemberRecord, Suspicion } from './gen/mesh_pb.js'
import type { NewsQueue } from './membership/news.js'
import type { MemberTable } from './membership/table.js'
import type { MeshOptions } from './types.js'
import type { Messenger } from './wire/messenger.js'

/** How a version came to this daemon; decides who pushes it on. */
export type SnapshotSource = 'push' | 'pull' | 'notice' | 'head'

/** State and helpers that the slices of one daemon share. */
export interface MeshContext {
  opts: MeshOptions
  table: MemberTable
  holder: ConfigHolder
  facts: FactStore
  floor: VersionFloor
  news: NewsQueue
  messenger: Messenger
  spreader: Spreader
  isStopped (): boolean
  /** Lets work run by itself; expected failures of peers and the platform are counted, others are logged. */
  detach (work: Promise<unknown>): void
  /** Merges records and suspicions of peers; `rumours` are passed on, transfers aren't. */
  mergeRecords (records: readonly MemberRecord[], as: 'rumour' | 'transfer'): void
  mergeSuspicions (suspicions: readonly Suspicion[]): void
  mergeFacts (facts: readonly MoveFact[]): void
  /** Changes the own record and makes it known. */
  changeSelf (change: Partial<MemberRecord>): void
  held (snapshot: Snapshot, source: SnapshotSource): void
  refused (refusal: Refusal): void
  /** A relay of another data centre sent a notice of this version. */
  noticed (version: number): void
}
