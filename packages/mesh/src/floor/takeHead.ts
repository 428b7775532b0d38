import type { Head } from '@lentilwheel/config'
import { loadSnapshot } from '@lentilwheel/platform'
import type { MeshContext, SnapshotSource } from '../context.js'
import { announceVersion } from './announce.js'

/** Reads the version that the head names, tells two peers of it, and only then holds it. */
export async function takeHead (ctx: MeshContext, head: Head, source: SnapshotSource): Promise<void> {
  const { holder, floor, messenger, table, opts } = ctx
  const snapshot = await loadSnapshot(opts.platform, head, holder.snapshot.objects)
  floor.raise(snapshot.version)
  await announceVersion({ messenger, table }, snapshot.version)
  if (holder.hold(snapshot)) ctx.held(snapshot, source)
}
