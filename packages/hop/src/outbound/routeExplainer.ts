import { hostName } from '@lentilwheel/core'
import type { VersionOption } from '../rollout/versionRules.js'
import type { Standing } from '../quarantine/quarantine.js'
import type { MeshRoute, MeshWorkspace } from '../routing/meshConfig.js'
import type { RouteTable } from '../routing/routeTable.js'
import type { OfferMode } from '../link/messages.js'
import type { CallCommand } from './callFlow.js'
import { judgeCaller, type ClaimedWorkspace } from './callerIdentity.js'
import type { Candidate } from './costEstimate.js'
import type { TargetFigures } from './loadBalancer.js'
import { OutboundCall } from './outboundCall.js'
import type { CallerRequest, OutboundOptions } from './outboundTypes.js'

/** Version of the JSON form of an explanation. */
const PROTOCOL = 1

/** A request that isn't sent. */
export interface RouteQuery {
  method: string
  host: string
  /** Path and query. */
  path: string
  /** Name of the caller's workspace; absent for a caller without a key. */
  workspace?: string
}

/** Why the daemon would reject the request; without `retryAfterMs` a retry would be rejected too. */
export interface ExplainedRejection {
  status: number
  reason: string
  retryAfterMs?: number
}

/** What a request would meet first: an offer to a target, a pause until one is looked for again, or its rejection. */
export type FirstStep =
  | { kind: 'offer', host: string, mode: OfferMode }
  | { kind: 'wait', ms: number }
  | { kind: 'reject', rejection: ExplainedRejection }

export interface ExplainedCandidate extends Candidate {
  figures: TargetFigures | undefined
}

/** The requests of a service that may go to the same targets. */
export interface ExplainedVersion {
  /** Their share of the requests of the service, 0 to 1. */
  share: number
  standing: Standing
  first: FirstStep | undefined
  /** Best first, as for a request that comes now; the costs have the random part that each request's have. */
  candidates: ExplainedCandidate[]
}

export interface ExplainedService {
  service: string
  /** Its share of the requests of the route, 0 to 1. */
  share: number
  versions: ExplainedVersion[]
}

/** Where a request would go now, and why. */
export interface RouteExplanation {
  protocol: typeof PROTOCOL
  daemon: string
  dataCentre: string
  /** Version of the configuration; 0 for none. */
  config: number
  route?: MeshRoute
  /** The caller's workspace, without what its keys are known by. */
  workspace?: Omit<MeshWorkspace, 'keyHashes'>
  /** Priority of the request, and where it comes from. */
  priority?: { value: number, from: 'workspace' | 'route' }
  rejection?: ExplainedRejection
  services: ExplainedService[]
}

export interface RouteExplainerOptions {
  outbound: OutboundOptions
  table (): RouteTable | undefined
  /** The choices among the versions of a service. */
  versionOptions (service: string): VersionOption[]
}

/** Explains where a request would go, by the code that decides it. Sends nothing, and changes neither counters nor the turns of a split. */
export class RouteExplainer {
  readonly #opts: RouteExplainerOptions

  constructor (opts: RouteExplainerOptions) {
    this.#opts = opts
  }

  explain (query: RouteQuery): RouteExplanation {
    const { own } = this.#opts.outbound.fleet
    const table = this.#opts.table()
    const start: RouteExplanation = { protocol: PROTOCOL, daemon: own.host, dataCentre: own.dataCentre, config: table?.config.version ?? 0, services: [] }
    if (!table) return { ...start, rejection: { status: 503, reason: 'noConfiguration' } }
    const route = table.match(hostName(query.host), pathOf(query))
    if (!route) return { ...start, rejection: { status: 404, reason: 'noRoute' } }
    const identity = judgeCaller(table, route, 'caller', claimedWorkspace(table, query))
    if (identity.kind === 'rejected') return { ...start, route, rejection: { status: 401, reason: identity.reason } }
    const { workspace } = identity
    return {
      ...start,
      route,
      ...workspace && { workspace: withoutKeys(workspace) },
      priority: workspace?.priority === undefined ? { value: route.priority, from: 'route' } : { value: workspace.priority, from: 'workspace' },
      services: this.#services(query, route, workspace)
    }
  }

  #services (query: RouteQuery, route: MeshRoute, workspace: MeshWorkspace | undefined): ExplainedService[] {
    const total = route.parts.reduce((sum, { weight }) => sum + weight, 0)
    return route.parts.map(({ service, weight }) => {
      const options: (VersionOption | undefined)[] = this.#opts.versionOptions(service)
      const versions = (options.length > 0 ? options : [undefined]).map((option) => this.#version(query, route, workspace, service, option))
      return { service, share: total > 0 ? weight / total : 0, versions }
    })
  }

  #version (query: RouteQuery, route: MeshRoute, workspace: MeshWorkspace | undefined, service: string, option: VersionOption | undefined): ExplainedVersion {
    const { outbound, table } = this.#opts
    const call = new OutboundCall({ ...outbound, versions: { choose: () => option } }, {
      req: requestOf(query),
      res: { respond: () => {}, reject: () => {} },
      route,
      workspace,
      service,
      arrivedAt: outbound.timers.now(),
      configVersion: table()!.config.version,
      isCallerRetry: false,
      nextKey: () => '',
      onNotRun: () => {},
      onEnd: () => {}
    })
    const { candidates, standing, command } = call.preview()
    return {
      share: option?.share ?? 1,
      standing,
      first: firstStep(command),
      candidates: candidates.map((candidate) => ({ ...candidate, figures: outbound.loadBalancer.figures(candidate.host) }))
    }
  }
}

/** Reads a query from the parameters of a URL; undefined if it lacks the host or the path. */
export function readRouteQuery (params: URLSearchParams): RouteQuery | undefined {
  const [method, host, path, workspace] = ['method', 'host', 'path', 'workspace'].map((name) => params.get(name) ?? undefined)
  if (host === undefined || host === '' || !path?.startsWith('/')) return undefined
  return { method: method ?? 'GET', host, path, ...workspace === undefined ? {} : { workspace } }
}

function pathOf ({ path }: RouteQuery): string {
  const query = path.indexOf('?')
  return query < 0 ? path : path.slice(0, query)
}

function claimedWorkspace (table: RouteTable, { workspace }: RouteQuery): ClaimedWorkspace {
  return workspace === undefined ? 'none' : table.config.workspaces.get(workspace) ?? 'unknown'
}

function requestOf (query: RouteQuery): CallerRequest {
  const { method, host, path } = query
  const head = { requestId: '', host: hostName(host), path: pathOf(query), headers: ['Host', host], deadlineMs: Infinity }
  return { method, url: path, head, body: new Uint8Array(), origin: 'caller' }
}

function withoutKeys ({ keyHashes, ...rest }: MeshWorkspace): Omit<MeshWorkspace, 'keyHashes'> {
  return rest
}

function firstStep (command: CallCommand | undefined): FirstStep | undefined {
  switch (command?.kind) {
    case 'offer':
      return { kind: 'offer', host: command.candidate.host, mode: command.mode }
    case 'timer':
      return { kind: 'wait', ms: command.ms }
    case 'reject':
      return { kind: 'reject', rejection: { status: 503, reason: command.reason, retryAfterMs: Math.round(command.retryAfterMs) } }
    default:
      return undefined
  }
}
