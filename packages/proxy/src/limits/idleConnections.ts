/** The part of a caller's socket that the sweep needs. */
export interface CallerSocket {
  readonly bytesRead: number
  destroy (): void
}

interface Seen {
  bytesRead: number
  /** Time of the first sweep that saw this many bytes. */
  since: number
}

/**
 * Closes callers' connections that have been idle for long. Swept now and then by their byte counts, as a timer of
 * Node's on each connection would be set and cleared twice a call.
 */
export class IdleConnections<S extends CallerSocket> {
  readonly #limitMs: number
  readonly #seen = new Map<S, Seen>()

  constructor (limitMs: number) {
    this.#limitMs = limitMs
  }

  add (socket: S, now: number): void {
    this.#seen.set(socket, { bytesRead: 0, since: now })
  }

  remove (socket: S): void {
    this.#seen.delete(socket)
  }

  sweep (now: number, isBusy: (socket: S) => boolean): void {
    for (const [socket, seen] of this.#seen) {
      if (isBusy(socket) || socket.bytesRead !== seen.bytesRead) {
        seen.bytesRead = socket.bytesRead
        seen.since = now
      } else if (now - seen.since >= this.#limitMs) {
        socket.destroy()
      }
    }
  }
}
