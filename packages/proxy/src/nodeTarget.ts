import { Client } from 'undici'
import type { EndpointView } from '@lentilwheel/core'
import { TargetState } from './balance/targetState.js'
import { CONNECT_TIMEOUT_MS, FRESH_CONNECTION_MS, IDLE_CONNECTION_MS, MAX_HEADER_BYTES } from './constants.js'

/** One connection to a target; it carries one request at a time. */
export class Connection {
  readonly client: Client
  answeredAt = 0
  /** Whether a socket is open, so that the next request would go out on a used connection. */
  open = false

  constructor (origin: string) {
    this.client = new Client(origin, {
      // Never more than one request at a time; with 1, undici waits another turn of the event loop after each answer.
      pipelining: 2,
      keepAliveTimeout: IDLE_CONNECTION_MS,
      keepAliveMaxTimeout: IDLE_CONNECTION_MS,
      // Each call has its own deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEADER_BYTES,
      connect: { timeout: CONNECT_TIMEOUT_MS, noDelay: true }
    })
    this.client.on('connect', () => { this.open = true })
    this.client.on('disconnect', () => { this.open = false })
    this.client.on('connectionError', () => { this.open = false })
  }
}

/** A target with its connections. The most recently used one goes out first, so that spare ones age and close. */
export class Target extends TargetState {
  readonly #idle: Connection[] = []
  readonly #origin: string
  #retired = false

  constructor (view: EndpointView, now: number, warm: boolean) {
    super(view, now, warm)
    this.#origin = `http://${view.address}:${view.port}`
  }

  /** A connection for one request; a proved one for a request that must not run twice. */
  acquire (proved: boolean, now: number): Connection {
    const last = this.#idle.pop()
    if (!last) return new Connection(this.#origin)
    if (!proved || !last.open || now - last.answeredAt < FRESH_CONNECTION_MS) return last
    // All others idle longer still, so a new connection replaces this one.
    this.#destroy(last)
    return new Connection(this.#origin)
  }

  /**
   * Takes a connection back. A broken one is dropped: undici reports a failed connect before its own state is
   * settled, and a request sent on the same client from within that report fails an assertion of undici.
   */
  giveBack (connection: Connection, answered: boolean, now: number): void {
    connection.answeredAt = now
    if (this.#retired || !answered) this.#destroy(connection)
    else this.#idle.push(connection)
  }

  /** Drops connections whose socket is closed. */
  trim (): void {
    for (let i = this.#idle.length - 1; i >= 0; i--) {
      const connection = this.#idle[i]!
      if (connection.open) continue
      this.#idle.splice(i, 1)
      this.#destroy(connection)
    }
  }

  /** Closes idle connections now and the busy ones as they come back. */
  retire (): void {
    this.#retired = true
    for (const connection of this.#idle.splice(0)) this.#destroy(connection)
  }

  #destroy (connection: Connection): void {
    connection.client.destroy().catch(() => {})
  }
}
