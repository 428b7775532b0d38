import type { MeshWorkspace } from './meshConfig.js'

type WorkspacesByName = ReadonlyMap<string, MeshWorkspace>

const NO_WORKSPACES: WorkspacesByName = new Map()
/** Versions that differ only in routes share their workspaces, and with them the index. */
const indexes = new WeakMap<WorkspacesByName, ReadonlyMap<string, MeshWorkspace>>()

/** Workspaces by the hash of each of their keys. */
export function workspacesByKeyHash (workspaces: WorkspacesByName): ReadonlyMap<string, MeshWorkspace> {
  let index = indexes.get(workspaces)
  if (!index) indexes.set(workspaces, index = createIndex(workspaces))
  return index
}

/** Returns `before` if nothing differs in `after`, so that what was derived from it can be used again. */
export function reuseUnchanged (before: WorkspacesByName | undefined, after: WorkspacesByName): WorkspacesByName {
  if (!before || before === after || before.size !== after.size) return after
  for (const workspace of after.values()) if (!isSameWorkspace(before.get(workspace.name), workspace)) return after
  return before
}

/** What has to change in `before` to get `after`. */
export function workspaceChanges (before: WorkspacesByName = NO_WORKSPACES, after: WorkspacesByName): { put: MeshWorkspace[], gone: string[] } {
  if (before === after) return { put: [], gone: [] }
  return {
    put: [...after.values()].filter((workspace) => !isSameWorkspace(before.get(workspace.name), workspace)),
    gone: [...before.keys()].filter((name) => !after.has(name))
  }
}

/** The workspaces after a change; the same object if there is no change. */
export function applyWorkspaceChanges (before: WorkspacesByName, put: readonly MeshWorkspace[], gone: readonly string[]): WorkspacesByName {
  if (put.length === 0 && gone.length === 0) return before
  const after = new Map(before)
  for (const name of gone) after.delete(name)
  for (const workspace of put) after.set(workspace.name, workspace)
  return after
}

function createIndex (workspaces: WorkspacesByName): Map<string, MeshWorkspace> {
  const index = new Map<string, MeshWorkspace>()
  for (const workspace of workspaces.values()) {
    for (const hash of workspace.keyHashes) {
      const other = index.get(hash)
      // The order of the workspaces differs between daemons, so a key of two workspaces can't go by it.
      if (!other || workspace.name < other.name) index.set(hash, workspace)
    }
  }
  return index
}

function isSameWorkspace (a: MeshWorkspace | undefined, b: MeshWorkspace): boolean {
  return a !== undefined && a.priority === b.priority && a.ratePerS === b.ratePerS && a.burst === b.burst &&
    a.keyHashes.length === b.keyHashes.length && a.keyHashes.every((hash, i) => hash === b.keyHashes[i])
}
