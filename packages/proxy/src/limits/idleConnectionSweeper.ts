/** The part of a caller's socket that the sweeper uses. */
export interface CallerSocket {
  readonly bytesRead: number
  destroy (): void
}

interface Activity {
  bytesRead: number
  /** Time of the first sweep that saw this many bytes. */
  unchangedSince: number
}

/**
 * Closes connections of callers that have been idle for too long. It compares their byte counts periodically, because
 * Node's own keep-alive timer would be set and cleared twice for each call.
 */
export class IdleConnectionSweeper<S extends CallerSocket> {
  readonly #idleTimeoutMs: number
  readonly #activities = new Map<S, Activity>()

  constructor (idleTimeoutMs: number) {
    this.#idleTimeoutMs = idleTimeoutMs
  }

  add (socket: S, now: number): void {
    this.#activities.set(socket, { bytesRead: 0, unchangedSince: now })
  }

  remove (socket: S): void {
    this.#activities.delete(socket)
  }

  /** Destroys the sockets that carry no call and haven't received a byte within the timeout. */
  sweep (now: number, isBusy: (socket: S) => boolean): void {
    for (const [socket, activity] of this.#activities) {
      if (isBusy(socket) || socket.bytesRead !== activity.bytesRead) {
        activity.bytesRead = socket.bytesRead
        activity.unchangedSince = now
      } else if (now - activity.unchangedSince >= this.#idleTimeoutMs) {
        socket.destroy()
      }
    }
  }
}
