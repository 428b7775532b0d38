import type { Timers } from '@lentilwheel/core'
import { TargetConnection, type BoundPassed, type TargetRequest } from './nodeTargetConnection.js'
import type { ResponseBounds } from './responseBounds.js'
import type { HeaderNames, TargetResult } from './targetResult.js'

export interface TargetClientOptions {
  host: string
  port: number
  names: HeaderNames
  timers: Timers
  bounds: ResponseBounds
  onStray (why: string): void
  onBoundPassed (passed: BoundPassed): void
  onConnect (): void
}

/** Sends requests to the target beside this daemon. */
export interface TargetClient {
  /** Returns a function that gives the request up. */
  send (request: TargetRequest, idempotent: boolean, done: (result: TargetResult) => void): () => void
  /** Drops all idle connections, for a target that has been replaced. */
  reset (): void
}

/**
 * A request that may run only once goes on a connection that answered this recently, or on a new one, as targets may
 * forget idle connections without a word.
 */
const FRESH_MS = 250

/** Keeps connections to one target; the one used last goes first, so that few stay open. */
export class NodeTargetClient implements TargetClient {
  readonly #opts: TargetClientOptions
  #idle: TargetConnection[] = []

  constructor (opts: TargetClientOptions) {
    this.#opts = opts
  }

  send (request: TargetRequest, idempotent: boolean, done: (result: TargetResult) => void): () => void {
    const connection = this.#take(idempotent)
    connection.send(request, (result) => {
      if (connection.isUsable()) this.#idle.push(connection)
      else connection.close()
      done(result)
    })
    return () => connection.close()
  }

  reset (): void {
    for (const connection of this.#idle) connection.close()
    this.#idle = []
  }

  #take (idempotent: boolean): TargetConnection {
    while (this.#idle.length > 0) {
      const connection = this.#idle.pop()!
      if (connection.isUsable(idempotent ? Infinity : FRESH_MS)) return connection
      connection.close()
    }
    this.#opts.onConnect()
    return new TargetConnection(this.#opts)
  }
}
