import { Client } from 'undici'
import type { EndpointView } from '@lentilwheel/core'
import { TargetState } from './balance/targetState.js'
import { CONNECT_TIMEOUT_MS, FRESH_CONNECTION_MS, IDLE_CONNECTION_TIMEOUT_MS, MAX_HEADER_BYTES } from './constants.js'

/** One connection to a target; it carries one request at a time. */
export class Connection {
  readonly client: Client
  /** When it was last released after a request; 0 before. */
  lastUsedAt = 0
  /** Whether its socket is open, so that the next request would be sent on a connection that was used before. */
  isOpen = false

  constructor (origin: string) {
    this.client = new Client(origin, {
      // Carries only one request at a time all the same; with 1, undici waits a turn of the event loop after each response.
      pipelining: 2,
      keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_CONNECTION_TIMEOUT_MS,
      // Each call has its own deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEADER_BYTES,
      connect: { timeout: CONNECT_TIMEOUT_MS, noDelay: true }
    })
    this.client.on('connect', () => { this.isOpen = true })
    this.client.on('disconnect', () => { this.isOpen = false })
    this.client.on('connectionError', () => { this.isOpen = false })
  }
}

/** A target with its connection pool. The most recently used connection is reused first, so that spare ones time out. */
export class Target extends TargetState {
  readonly #idle: Connection[] = []
  readonly #origin: string
  #isRetired = false

  constructor (endpoint: EndpointView, now: number, isWarm: boolean) {
    super(endpoint, now, isWarm)
    this.#origin = `http://${endpoint.address}:${endpoint.port}`
  }

  /**
   * A connection for one request. A request that must not run twice needs a new or recently used one: the target may
   * close an idle connection while the request is sent, and then it is unknown whether it ran.
   */
  acquire (mustBeFresh: boolean, now: number): Connection {
    const last = this.#idle.pop()
    if (!last) return new Connection(this.#origin)
    if (!mustBeFresh || !last.isOpen || now - last.lastUsedAt < FRESH_CONNECTION_MS) return last
    // The others have been idle even longer, so a new connection replaces this one.
    this.#destroy(last)
    return new Connection(this.#origin)
  }

  /**
   * Returns a connection to the pool, or destroys it if it failed: undici reports a failed connect before its own state
   * is settled, and a request sent on the same client from within that callback fails an assertion of undici.
   */
  release (connection: Connection, isReusable: boolean, now: number): void {
    connection.lastUsedAt = now
    if (this.#isRetired || !isReusable) this.#destroy(connection)
    else this.#idle.push(connection)
  }

  /** Removes idle connections whose socket is closed. */
  pruneClosed (): void {
    for (let i = this.#idle.length - 1; i >= 0; i--) {
      const connection = this.#idle[i]!
      if (connection.isOpen) continue
      this.#idle.splice(i, 1)
      this.#destroy(connection)
    }
  }

  /** Closes idle connections now and busy ones when they are released. */
  retire (): void {
    this.#isRetired = true
    for (const connection of this.#idle.splice(0)) this.#destroy(connection)
  }

  #destroy (connection: Connection): void {
    connection.client.destroy().catch(() => {})
  }
}
