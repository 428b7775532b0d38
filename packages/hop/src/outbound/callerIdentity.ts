import type { MeshRoute, MeshWorkspace } from '../routing/meshConfig.js'
import type { RouteTable } from '../routing/routeTable.js'
import { readCredentials } from './credentials.js'
import type { CallerRequest } from './outboundTypes.js'

/** Whose request it is, or why it is rejected with 401. */
export type CallerIdentity =
  | { kind: 'accepted', workspace: MeshWorkspace | undefined }
  | { kind: 'rejected', reason: 'unknownKey' | 'keyMissing' }

const ANONYMOUS: CallerIdentity = { kind: 'accepted', workspace: undefined }

/** Identifies the caller of a request by its key. Nested calls carry no keys, so they need none. */
export function identifyCaller (table: RouteTable, route: MeshRoute, { head, origin }: CallerRequest): CallerIdentity {
  if (!table.hasWorkspaces) return ANONYMOUS
  const credentials = readCredentials(head.headers)
  if (credentials.kind === 'none') {
    return route.allowsAnonymous || origin !== 'caller' ? ANONYMOUS : { kind: 'rejected', reason: 'keyMissing' }
  }
  const workspace = credentials.kind === 'key' ? table.workspaceOf(credentials.hash) : undefined
  return workspace ? { kind: 'accepted', workspace } : { kind: 'rejected', reason: 'unknownKey' }
}
