import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Timers } from '@lentilwheel/core'
import type { CallerExchange } from './nodeCallerExchange.js'
import { CallerConnection, type CallerConnectionOptions } from './nodeCallerConnection.js'

export interface CallerConnectionsOptions extends CallerConnectionOptions {
  readonly timers: Pick<Timers, 'now' | 'every'>
  /** Time after which a connection on which nothing moves is closed. */
  idleMs (): number
}

/** Short, as many callers together can send the largest part of the memory in incomplete heads within a second. */
const CHECK_INTERVAL_MS = 250

/** The open connections of callers. Those on which nothing moves for too long are closed, and one of them early when there are too many. */
export class CallerConnections {
  readonly #opts: CallerConnectionsOptions
  readonly #connections = new Map<Socket, CallerConnection>()

  constructor (opts: CallerConnectionsOptions) {
    this.#opts = opts
    opts.timers.every(CHECK_INTERVAL_MS, () => this.#check())
  }

  /** Number of open connections. */
  get open (): number {
    return this.#connections.size
  }

  /** Requests that wait for their response or are still being read. */
  get inFlight (): number {
    let sum = 0
    for (const connection of this.#connections.values()) sum += connection.inFlight
    return sum
  }

  add (socket: Socket): void {
    this.#connections.set(socket, new CallerConnection(socket, this.#opts, this.#opts.timers.now()))
    socket.once('close', () => this.#connections.delete(socket))
    if (this.#connections.size > this.#opts.limits.maxConnections) this.#closeQuietest()
  }

  addRequest (req: IncomingMessage, res: ServerResponse): void {
    this.#connections.get(req.socket)?.add(req, res)
  }

  /** Ends a connection whose bytes can't be parsed, after the responses to the requests before them. */
  endWith (socket: Socket, text: string): void {
    this.#connections.get(socket)?.endWith(text)
  }

  /** Ends the connections on which no response is due; the others end with their last response. `reject` is called with requests that are still arriving. */
  endIdle (reject: (exchange: CallerExchange) => void): void {
    const now = this.#opts.timers.now()
    for (const connection of this.#connections.values()) connection.endIdle(now, reject)
  }

  /** Whether what arrives on a connection is dropped. */
  isEnding (socket: Socket): boolean {
    return this.#connections.get(socket)?.isEnding === true
  }

  #check (): void {
    const now = this.#opts.timers.now()
    const idleMs = this.#opts.idleMs()
    for (const connection of this.#connections.values()) {
      const reason = connection.check(now, idleMs)
      if (reason) connection.destroy(reason)
    }
  }

  /** Closes the connection that has been quiet for longest; one without a complete request before the others. */
  #closeQuietest (): void {
    let quietest: CallerConnection | undefined
    for (const connection of this.#connections.values()) if (!connection.isGone && (!quietest || isQuieter(connection, quietest))) quietest = connection
    quietest?.destroy('connections')
  }
}

function isQuieter (a: CallerConnection, b: CallerConnection): boolean {
  if (a.isBusy !== b.isBusy) return b.isBusy
  return a.quietSince < b.quietSince
}
