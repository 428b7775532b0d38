import type { RejectionReason } from '../observe/callMetrics.js'
import type { QuotaDecision } from '../quota/quotaGate.js'
import { QuotaWait } from '../quota/quotaWait.js'
import type { MeshRoute, MeshWorkspace } from '../routing/meshConfig.js'
import type { RouteTable } from '../routing/routeTable.js'
import { TrafficSplitter } from '../routing/trafficSplitter.js'
import { identifyCaller } from './callerIdentity.js'
import { withoutCredentials } from './credentials.js'
import { OutboundCall } from './outboundCall.js'
import type { OutboundOptions, CallerRequest, Responder } from './outboundTypes.js'
import { CallerRetryDetector } from './retryAfter.js'

/** Retry-After for callers rejected because the daemon has no configuration yet. */
const NO_CONFIG_RETRY_AFTER_MS = 300
/** Retry-After for callers whose quota isn't decided on before the daemon stops. */
const STOPPING_RETRY_AFTER_MS = 50

/** A caller's request, and what the configuration says about it. */
interface RoutedRequest {
  req: CallerRequest
  res: Responder
  arrivedAt: number
  /** Whether the caller seems to retry after a rejection. */
  isCallerRetry: boolean
  table: RouteTable
  route: MeshRoute
  workspace: MeshWorkspace | undefined
}

interface Rejection {
  status: number
  reason: RejectionReason
  retryAfterMs?: number
  route?: string
  workspace?: string
}

/**
 * Entry point of callers' requests: finds the route and the caller's workspace, asks for its quota, chooses the service among the
 * parts of a split, and runs each request to its end as an `OutboundCall`.
 */
export class OutboundHandler {
  readonly #opts: OutboundOptions
  readonly #splitter: TrafficSplitter
  readonly #callerRetries = new CallerRetryDetector()
  #table: RouteTable | undefined
  readonly #calls = new Set<OutboundCall>()
  readonly #quotaWaits = new Set<QuotaWait>()
  #lastKey = 0

  constructor (opts: OutboundOptions) {
    this.#opts = opts
    this.#splitter = new TrafficSplitter(opts.random)
  }

  /** Number of requests in flight. */
  get active (): number {
    return this.#calls.size + this.#quotaWaits.size
  }

  /** Current routes; undefined before the first configuration. */
  get table (): RouteTable | undefined {
    return this.#table
  }

  /** Replaces the routes, and drops what was kept for routes that no longer exist. */
  setTable (table: RouteTable): void {
    this.#table = table
    const routes = new Set(table.config.routes.map((route) => route.name))
    this.#splitter.retain(routes)
    this.#callerRetries.retain(routes)
    this.#opts.sizes.retain(routes)
    this.#opts.hedging.policy.retain(routes)
  }

  /** Handles one request; returns a function to call when the caller closes its connection. */
  handle (req: CallerRequest, res: Responder): () => void {
    const request = this.#route(req, res, this.#opts.timers.now())
    if (!request) return () => {}
    const { workspace } = request
    if (workspace && workspace.ratePerS > 0 && req.origin === 'caller') return this.#awaitQuota(request, workspace)
    return this.#start(request)
  }

  /** Responds to all callers still waiting: a response tells a caller whether its request may have run, a closed connection does not. */
  abortAll (): void {
    for (const wait of this.#quotaWaits) wait.end(STOPPING_RETRY_AFTER_MS)
    for (const call of this.#calls) call.abort()
  }

  /** Finds the route and the workspace of a request; undefined if it has been rejected. `isRetry`: whether its caller retries, if that is known already. */
  #route (req: CallerRequest, res: Responder, arrivedAt: number, isRetry?: boolean): RoutedRequest | undefined {
    const table = this.#table
    if (!table) {
      this.#reject(req, res, { status: 503, reason: 'noConfiguration', retryAfterMs: NO_CONFIG_RETRY_AFTER_MS })
      return undefined
    }
    const route = table.match(req.head.host, req.head.path)
    if (!route) {
      this.#reject(req, res, { status: 404, reason: 'noRoute' })
      return undefined
    }
    const identity = identifyCaller(table, route, req)
    if (identity.kind === 'rejected') {
      this.#reject(req, res, { status: 401, reason: identity.reason, route: route.name })
      return undefined
    }
    const isCallerRetry = isRetry ?? (req.origin === 'caller' && this.#callerRetries.isRetry(route.name, req.head.deadlineMs))
    return { req, res, arrivedAt, isCallerRetry, table, route, workspace: identity.workspace }
  }

  /** Starts the request once its workspace's quota grants it. */
  #awaitQuota (request: RoutedRequest, workspace: MeshWorkspace): () => void {
    const { quota: gate, timers } = this.#opts
    const { req, route } = request
    let onCallerLeft = (): void => this.#cancelWait(wait, request)
    const wait = new QuotaWait({
      gate,
      timers,
      workspace,
      isRepeat: request.isCallerRetry,
      timeoutMs: Math.min(req.head.deadlineMs, route.timeoutMs),
      onDecision: (decision) => {
        this.#quotaWaits.delete(wait)
        onCallerLeft = this.#settleQuota(request, workspace, decision)
      }
    })
    this.#quotaWaits.add(wait)
    wait.start()
    return () => onCallerLeft()
  }

  /** Goes on with a request; one that fails unexpectedly must not keep those from being decided on that wait behind it. */
  #settleQuota (request: RoutedRequest, workspace: MeshWorkspace, decision: QuotaDecision): () => void {
    try {
      return this.#onQuotaDecision(request, workspace, decision)
    } catch (err) {
      const { req, res } = request
      this.#opts.log.call(false, 'outbound', { id: req.head.requestId, outcome: 502, reason: 'internalError', error: (err as Error).stack })
      res.reject(502, 'internalError')
      return () => {}
    }
  }

  /** Starts or rejects the request; returns what to call when its caller leaves. */
  #onQuotaDecision (request: RoutedRequest, workspace: MeshWorkspace, decision: QuotaDecision): () => void {
    const { req, res, arrivedAt } = request
    if (decision.kind !== 'granted') {
      this.#rejectForQuota(request, workspace, decision)
      return () => {}
    }
    const giveBack = (): void => this.#opts.quota.giveBack(workspace)
    // The key or the route may have been withdrawn meanwhile.
    const current = this.#table === request.table ? request : this.#route(req, res, arrivedAt, request.isCallerRetry)
    if (current) return this.#start(current, giveBack)
    giveBack()
    return () => {}
  }

  #rejectForQuota ({ req, res, route }: RoutedRequest, workspace: MeshWorkspace, { kind, retryAfterMs }: Exclude<QuotaDecision, { kind: 'granted' }>): void {
    const isExceeded = kind === 'exceeded'
    const rejection = isExceeded ? { status: 429, reason: 'quotaExceeded' } as const : { status: 503, reason: 'quotaUnknown' } as const
    this.#opts.traffic.recordWorkspace(workspace.name, isExceeded ? 'overQuota' : 'rejected')
    this.#reject(req, res, { ...rejection, retryAfterMs, route: route.name, workspace: workspace.name })
  }

  #cancelWait (wait: QuotaWait, { req, route, workspace }: RoutedRequest): void {
    if (!this.#quotaWaits.delete(wait)) return
    wait.cancel()
    const { metrics, log } = this.#opts
    metrics.request(route.name, 'callerLeft', 0)
    log.call(true, 'outbound', { id: req.head.requestId, route: route.name, workspace: workspace?.name, outcome: 'callerLeft', reason: 'quotaUnknown' })
  }

  #start ({ req, res, arrivedAt, isCallerRetry, table, route, workspace }: RoutedRequest, onNotRun: () => void = () => {}): () => void {
    const { own } = this.#opts.fleet
    const call: OutboundCall = new OutboundCall(this.#opts, {
      req: table.hasWorkspaces ? withoutKey(req) : req,
      res,
      route,
      workspace,
      service: this.#splitter.nextService(route),
      arrivedAt,
      configVersion: table.config.version,
      isCallerRetry,
      nextKey: () => `${own.host}/${own.incarnation}/${++this.#lastKey}`,
      onNotRun,
      onEnd: () => this.#calls.delete(call)
    })
    this.#calls.add(call)
    call.start()
    return () => call.onCallerLeft()
  }

  #reject (req: CallerRequest, res: Responder, { status, reason, retryAfterMs, ...details }: Rejection): void {
    const { metrics, log } = this.#opts
    metrics.request('', String(status), 0)
    metrics.rejection(reason)
    log.call(status !== 503, 'outbound', {
      id: req.head.requestId,
      outcome: status,
      reason,
      authority: req.head.host,
      ...details,
      ...retryAfterMs === undefined ? {} : { retryAfterMs: Math.round(retryAfterMs), notRun: true },
      config: this.#table?.config.version ?? 0
    })
    res.reject(status, reason, retryAfterMs)
  }
}

/** The request as it may be passed on, without the key of the caller. */
function withoutKey (req: CallerRequest): CallerRequest {
  return { ...req, head: { ...req.head, headers: withoutCredentials(req.head.headers) } }
}
