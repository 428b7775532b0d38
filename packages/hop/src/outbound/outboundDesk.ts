import type { RouteTable } from '../routing/routeTable.js'
import { Splitter } from '../routing/splitter.js'
import { OutboundCall } from './outboundCall.js'
import type { OutboundOptions, OutboundRequest, Responder } from './outboundTypes.js'
import { Patience } from './retryAfter.js'

/** Wait of callers that a daemon without a configuration refuses. */
const COME_BACK_MS = 300

/** Takes callers' requests: routes them, deals the parts of a split, and follows each to its end. */
export class OutboundDesk {
  readonly #opts: OutboundOptions
  readonly #splitter: Splitter
  readonly #patience = new Patience()
  #table: RouteTable | undefined
  readonly #calls = new Set<OutboundCall>()
  #keys = 0

  constructor (opts: OutboundOptions) {
    this.#opts = opts
    this.#splitter = new Splitter(opts.random)
  }

  get active (): number {
    return this.#calls.size
  }

  get table (): RouteTable | undefined {
    return this.#table
  }

  setTable (table: RouteTable): void {
    this.#table = table
    const routes = new Set(table.config.routes.map((route) => route.name))
    this.#splitter.retain(routes)
    this.#patience.retain(routes)
    this.#opts.sizes.retain(routes)
  }

  /** Handles one request; returns what to call when the caller leaves. */
  handle (req: OutboundRequest, res: Responder): () => void {
    const table = this.#table
    if (!table) {
      this.#refuse(req, res, 503, 'noConfiguration', COME_BACK_MS)
      return () => {}
    }
    const route = table.match(req.head.host, req.head.path)
    if (!route) {
      this.#refuse(req, res, 404, 'noRoute')
      return () => {}
    }
    const { own } = this.#opts.fleet
    const call: OutboundCall = new OutboundCall(this.#opts, {
      req,
      res,
      route,
      service: this.#splitter.next(route),
      configVersion: table.config.version,
      isAgain: req.origin === 'caller' && this.#patience.isAgain(route.name, req.head.deadlineMs),
      nextKey: () => `${own.host}/${own.incarnation}/${++this.#keys}`,
      onEnd: () => this.#calls.delete(call)
    })
    this.#calls.add(call)
    call.start()
    return () => call.leave()
  }

  /** Answers every caller that still waits: a caller that gets an answer knows more than one whose connection is cut. */
  giveUpAll (): void {
    for (const call of this.#calls) call.giveUp()
  }

  #refuse (req: OutboundRequest, res: Responder, status: number, reason: string, comeBackMs?: number): void {
    const { metrics, log } = this.#opts
    metrics.request('', String(status), 0)
    log.call(status === 404, 'outbound', {
      id: req.head.requestId, outcome: status, reason, authority: req.head.host, config: this.#table?.config.version ?? 0
    })
    res.refuse(status, reason, comeBackMs)
  }
}
