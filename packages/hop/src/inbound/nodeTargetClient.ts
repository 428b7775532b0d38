import type { Timers } from '@lentilwheel/core'
import type { HeaderNames } from '../headers.js'
import type { ConnectOutcome } from './crashDetector.js'
import { TargetConnection, type LimitExceeded, type TargetRequest } from './nodeTargetConnection.js'
import type { ResponseLimits } from './responseLimits.js'
import type { TargetResult } from './targetResult.js'

export interface TargetClientOptions {
  host: string
  port: number
  names: HeaderNames
  timers: Timers
  limits: ResponseLimits
  /** Called when the target sends data that belongs to no pending request. */
  onUnsolicitedData (why: string): void
  /** Called when a response exceeds a size limit and is dropped. */
  onLimitExceeded (exceeded: LimitExceeded): void
  /** Called when a new connection is opened. */
  onConnect (): void
}

/** Sends requests to the target beside this daemon. */
export interface TargetClient {
  /** Sends a request and calls `done` with its result; returns a function that aborts the request. */
  send (request: TargetRequest, idempotent: boolean, done: (result: TargetResult) => void): () => void
  /** Opens one more connection and tells whether the target accepted it. */
  tryConnect (done: (outcome: ConnectOutcome) => void): void
  /** Closes all idle connections, for a target that has been replaced. */
  reset (): void
}

/**
 * Longest idle time of a connection that is reused for a request that isn't idempotent; after it, a new connection is
 * opened. Targets may drop idle connections without notice, and a request that may run only once can't be sent again.
 */
const NON_IDEMPOTENT_MAX_IDLE_MS = 250

/** Time for a connection on the same host to be accepted or refused, when it is tried to find out whether the target is there. */
const CHECK_TIMEOUT_MS = 100

/** Target client with a pool of keep-alive connections. The most recently used one is reused first, so that few stay open. */
export class NodeTargetClient implements TargetClient {
  readonly #opts: TargetClientOptions
  #idleConnections: TargetConnection[] = []

  constructor (opts: TargetClientOptions) {
    this.#opts = opts
  }

  send (request: TargetRequest, idempotent: boolean, done: (result: TargetResult) => void): () => void {
    const connection = this.#acquire(request.requestId, idempotent)
    const sentAt = this.#opts.timers.now()
    connection.send(request, (result) => {
      if (connection.isUsable()) this.#idleConnections.push(connection)
      else connection.close()
      if (result.kind === 'failed' && result.reason === 'timeout') this.#closeIdleSince(sentAt)
      done(result)
    })
    return () => connection.close()
  }

  /** The connection is kept for later requests; `done` is called once, within the time limit. */
  tryConnect (done: (outcome: ConnectOutcome) => void): void {
    const connection = this.#open()
    let isDone = false
    const finish = (outcome: ConnectOutcome): void => {
      if (isDone) return
      isDone = true
      stopTimer()
      if (outcome === 'accepted') this.#idleConnections.push(connection)
      else connection.close()
      done(outcome)
    }
    const stopTimer = this.#opts.timers.after(CHECK_TIMEOUT_MS, () => finish('unknown'))
    connection.onceOpened(finish)
  }

  reset (): void {
    for (const connection of this.#idleConnections) connection.close()
    this.#idleConnections = []
  }

  /** Closes idle connections that may have gone silent together with one on which a request, sent at the given time, got no response. */
  #closeIdleSince (sentAt: number): void {
    for (const connection of this.#idleConnections) if (connection.idleSince < sentAt) connection.close()
    this.#idleConnections = this.#idleConnections.filter((connection) => connection.isUsable())
  }

  /** Returns an idle connection, or a new one if none is usable. */
  #acquire (requestId: string, idempotent: boolean): TargetConnection {
    const maxIdleMs = idempotent ? Infinity : NON_IDEMPOTENT_MAX_IDLE_MS
    const others: TargetConnection[] = []
    let usable: TargetConnection | undefined
    while (!usable && this.#idleConnections.length > 0) {
      const connection = this.#idleConnections.pop()!
      if (!connection.isUsable(maxIdleMs)) connection.close()
      else if (connection.hasRefused(requestId)) others.push(connection)
      else usable = connection
    }
    this.#idleConnections.push(...others.reverse())
    return usable ?? this.#open()
  }

  #open (): TargetConnection {
    this.#opts.onConnect()
    return new TargetConnection(this.#opts)
  }
}
