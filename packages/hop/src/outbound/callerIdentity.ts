import type { RequestOrigin } from '../inbound/runningRequests.js'
import type { MeshRoute, MeshWorkspace } from '../routing/meshConfig.js'
import type { RouteTable } from '../routing/routeTable.js'
import { readCredentials } from './credentials.js'
import type { CallerRequest } from './outboundTypes.js'

/** Whose request it is, or why it is rejected with 401. */
export type CallerIdentity =
  | { kind: 'accepted', workspace: MeshWorkspace | undefined }
  | { kind: 'rejected', reason: 'unknownKey' | 'keyMissing' }

const ANONYMOUS: CallerIdentity = { kind: 'accepted', workspace: undefined }

/** The workspace that the key of a request names. `unknown`: no workspace has it; `none`: the request has no key. */
export type ClaimedWorkspace = MeshWorkspace | 'unknown' | 'none'

/** Identifies the caller of a request by its key. */
export function identifyCaller (table: RouteTable, route: MeshRoute, { head, origin }: CallerRequest): CallerIdentity {
  return table.hasWorkspaces ? judgeCaller(table, route, origin, claimedWorkspace(table, head.headers)) : ANONYMOUS
}

/** Decides whether a request of a workspace, or of none, may use a route. Nested calls carry no keys, so they need none. */
export function judgeCaller (table: RouteTable, route: MeshRoute, origin: RequestOrigin, claimed: ClaimedWorkspace): CallerIdentity {
  if (!table.hasWorkspaces) return ANONYMOUS
  if (claimed === 'unknown') return { kind: 'rejected', reason: 'unknownKey' }
  if (claimed !== 'none') return { kind: 'accepted', workspace: claimed }
  return route.allowsAnonymous || origin !== 'caller' ? ANONYMOUS : { kind: 'rejected', reason: 'keyMissing' }
}

function claimedWorkspace (table: RouteTable, headers: readonly string[]): ClaimedWorkspace {
  const credentials = readCredentials(headers)
  if (credentials.kind === 'none') return 'none'
  return (credentials.kind === 'key' ? table.workspaceOf(credentials.hash) : undefined) ?? 'unknown'
}
