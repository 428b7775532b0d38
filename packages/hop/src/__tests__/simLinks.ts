import type { VirtualTimers } from '@lentilwheel/core'

/** Bytes that a message between daemons has besides the bodies. */
const MESSAGE_OVERHEAD_BYTES = 300

/** Simulated links of hosts: each sends one byte after the other, in the order in which they were given to it. */
export class SimLinks {
  readonly #timers: VirtualTimers
  readonly #oneWayMs: number
  readonly #bytesPerMs: (host: string) => number
  readonly #freeAt = new Map<string, number>()
  /** Bytes sent by each host. */
  readonly sentBytes = new Map<string, number>()

  /** `bytesPerMs`: what the link of a host carries in a millisecond. */
  constructor (timers: VirtualTimers, oneWayMs: number, bytesPerMs: (host: string) => number) {
    this.#timers = timers
    this.#oneWayMs = oneWayMs
    this.#bytesPerMs = bytesPerMs
  }

  /** Sends a message with a body of that size; `arrive` is called when all of it is there. */
  send (from: string, bodyBytes: number, arrive: () => void): void {
    const now = this.#timers.now()
    const bytes = bodyBytes + MESSAGE_OVERHEAD_BYTES
    const freeAt = Math.max(now, this.#freeAt.get(from) ?? 0) + bytes / this.#bytesPerMs(from)
    this.#freeAt.set(from, freeAt)
    this.sentBytes.set(from, (this.sentBytes.get(from) ?? 0) + bytes)
    this.#timers.after(freeAt - now + this.#oneWayMs, arrive)
  }
}
