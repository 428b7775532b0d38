import type { Head } from '@lentilwheel/config'
import { loadSnapshot } from '@lentilwheel/platform'
import type { MeshContext, SnapshotSource } from '../context.js'
import { announceVersion } from './announceVersion.js'

/**
 * Loads the version that the platform's head names and applies it. The version is announced to peers before it is
 * applied, so that they know the version floor even if this daemon dies right afterwards.
 */
export async function applyHead (ctx: MeshContext, head: Head, source: SnapshotSource): Promise<void> {
  const { snapshots, floor, messenger, table, opts } = ctx
  const snapshot = await loadSnapshot(opts.platform, head, snapshots.snapshot.objects)
  floor.raise(snapshot.version)
  await announceVersion({ messenger, table }, snapshot.version)
  if (snapshots.replace(snapshot)) ctx.onVersionApplied(snapshot, source)
}
