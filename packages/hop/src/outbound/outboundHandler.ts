import type { RouteTable } from '../routing/routeTable.js'
import { TrafficSplitter } from '../routing/trafficSplitter.js'
import { OutboundCall } from './outboundCall.js'
import type { OutboundOptions, CallerRequest, Responder } from './outboundTypes.js'
import { CallerRetryDetector } from './retryAfter.js'

/** Retry-After for callers rejected because the daemon has no configuration yet. */
const NO_CONFIG_RETRY_AFTER_MS = 300

/**
 * Entry point of callers' requests: finds the route, chooses the service among the parts of a split, and runs each request
 * to its end as an `OutboundCall`.
 */
export class OutboundHandler {
  readonly #opts: OutboundOptions
  readonly #splitter: TrafficSplitter
  readonly #callerRetries = new CallerRetryDetector()
  #table: RouteTable | undefined
  readonly #calls = new Set<OutboundCall>()
  #lastKey = 0

  constructor (opts: OutboundOptions) {
    this.#opts = opts
    this.#splitter = new TrafficSplitter(opts.random)
  }

  /** Number of requests in flight. */
  get active (): number {
    return this.#calls.size
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
  }

  /** Handles one request; returns a function to call when the caller closes its connection. */
  handle (req: CallerRequest, res: Responder): () => void {
    const table = this.#table
    if (!table) {
      this.#reject(req, res, 503, 'noConfiguration', NO_CONFIG_RETRY_AFTER_MS)
      return () => {}
    }
    const route = table.match(req.head.host, req.head.path)
    if (!route) {
      this.#reject(req, res, 404, 'noRoute')
      return () => {}
    }
    const { own } = this.#opts.fleet
    const call: OutboundCall = new OutboundCall(this.#opts, {
      req,
      res,
      route,
      service: this.#splitter.nextService(route),
      configVersion: table.config.version,
      isCallerRetry: req.origin === 'caller' && this.#callerRetries.isRetry(route.name, req.head.deadlineMs),
      nextKey: () => `${own.host}/${own.incarnation}/${++this.#lastKey}`,
      onEnd: () => this.#calls.delete(call)
    })
    this.#calls.add(call)
    call.start()
    return () => call.onCallerLeft()
  }

  /** Responds to all callers still waiting: a response tells a caller whether its request may have run, a closed connection does not. */
  abortAll (): void {
    for (const call of this.#calls) call.abort()
  }

  #reject (req: CallerRequest, res: Responder, status: number, reason: string, retryAfterMs?: number): void {
    const { metrics, log } = this.#opts
    metrics.request('', String(status), 0)
    log.call(status === 404, 'outbound', {
      id: req.head.requestId, outcome: status, reason, authority: req.head.host, config: this.#table?.config.version ?? 0
    })
    res.reject(status, reason, retryAfterMs)
  }
}
