import type { MeshConfig, MeshWorkspace } from '../routing/meshConfig.js'

const NONE: ReadonlyMap<string, MeshWorkspace> = new Map()

/** Workspaces of a configuration by name; none before the first configuration. */
export function workspacesOf (config: MeshConfig | undefined): ReadonlyMap<string, MeshWorkspace> {
  return (config as { workspaces?: ReadonlyMap<string, MeshWorkspace> } | undefined)?.workspaces ?? NONE
}
