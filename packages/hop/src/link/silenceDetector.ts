/** Silence after which the peer is pinged while a request is pending. */
const PENDING_PING_MS = 250
/** Silence after which the peer is pinged when someone wants to know whether it still runs. */
const CHECK_PING_MS = 500
/** Time without an answer to a ping after which the peer counts as silent. */
const PING_TIMEOUT_MS = 800

/** What is known of a connection to a peer, in monotonic milliseconds. */
export interface ConnectionState {
  now: number
  lastReceivedAt: number
  /** When the oldest request without a reply was sent; undefined if there is none. */
  oldestSentAt: number | undefined
  /** Silence after which an idle connection is pinged. */
  idlePingMs: number
}

/** `ping`: the peer is to be pinged; `silent`: it has left a ping unanswered. */
export type SilenceVerdict = 'ping' | 'silent'

/** Decides when a peer is pinged, and when it counts as silent though nothing has ended the connection to it. */
export class SilenceDetector {
  #pingedAt = -Infinity

  /** To be called at intervals; the caller pings the peer, or closes the connection. */
  check ({ now, lastReceivedAt, oldestSentAt, idlePingMs }: ConnectionState): SilenceVerdict | undefined {
    if (this.#isPingPending(lastReceivedAt)) return now - this.#pingedAt > PING_TIMEOUT_MS ? 'silent' : undefined
    const pendingSilentMs = now - Math.max(lastReceivedAt, oldestSentAt ?? now)
    return pendingSilentMs >= PENDING_PING_MS || now - lastReceivedAt >= idlePingMs ? this.#ping(now) : undefined
  }

  /** Whether to ping a peer before it is needed. */
  checkEarly ({ now, lastReceivedAt }: Pick<ConnectionState, 'now' | 'lastReceivedAt'>): SilenceVerdict | undefined {
    if (this.#isPingPending(lastReceivedAt)) return undefined
    return now - lastReceivedAt >= CHECK_PING_MS ? this.#ping(now) : undefined
  }

  #isPingPending (lastReceivedAt: number): boolean {
    return this.#pingedAt > lastReceivedAt
  }

  #ping (now: number): SilenceVerdict {
    this.#pingedAt = now
    return 'ping'
  }
}
