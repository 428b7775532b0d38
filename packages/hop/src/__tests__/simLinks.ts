import type { VirtualTimers } from '@lentilwheel/core'
import { SendQueue, type Transfer } from '../link/sendQueue.js'

/** Bytes that a message between daemons has besides the bodies. */
const MESSAGE_OVERHEAD_BYTES = 300

/**
 * Simulated links of hosts: each sends one byte after the other, in the order in which they were given to it. The daemon of the host
 * decides that order with its real queue.
 */
export class SimLinks {
  readonly #timers: VirtualTimers
  readonly #oneWayMs: number
  readonly #bytesPerMs: (host: string) => number
  readonly #freeAt = new Map<string, number>()
  readonly #queues = new Map<string, SendQueue>()

  /** `bytesPerMs`: what the link of a host carries in a millisecond. */
  constructor (timers: VirtualTimers, oneWayMs: number, bytesPerMs: (host: string) => number) {
    this.#timers = timers
    this.#oneWayMs = oneWayMs
    this.#bytesPerMs = bytesPerMs
  }

  /** The queue before the link of a host. */
  queue (host: string): SendQueue {
    let queue = this.#queues.get(host)
    if (!queue) this.#queues.set(host, queue = new SendQueue({ timers: this.#timers, bytesPerMs: this.#bytesPerMs(host) }))
    return queue
  }

  /** Sends a message with a body of that size; `arrive` is called when all of it is there. Returns what drops the rest of it. */
  send (from: string, bodyBytes: number, urgency: number, arrive: () => void): () => void {
    const bytes = bodyBytes + MESSAGE_OVERHEAD_BYTES
    const queue = this.queue(from)
    if (queue.trySendNow(bytes)) {
      this.#carry(from, bytes, arrive)
      return () => {}
    }
    return queue.submit(new SimTransfer(bytes, urgency, (part, isLast) => this.#carry(from, part, isLast ? arrive : () => {})))
  }

  #carry (from: string, bytes: number, arrive: () => void): void {
    const now = this.#timers.now()
    const freeAt = Math.max(now, this.#freeAt.get(from) ?? 0) + bytes / this.#bytesPerMs(from)
    this.#freeAt.set(from, freeAt)
    this.#timers.after(freeAt - now + this.#oneWayMs, arrive)
  }
}

class SimTransfer implements Transfer {
  readonly urgency: number
  readonly #carry: (bytes: number, isLast: boolean) => void
  remaining: number

  constructor (bytes: number, urgency: number, carry: (bytes: number, isLast: boolean) => void) {
    this.remaining = bytes
    this.urgency = urgency
    this.#carry = carry
  }

  isBlocked (): boolean {
    return false
  }

  write (maxBytes: number): number {
    const bytes = Math.min(this.remaining, Math.ceil(maxBytes))
    this.remaining -= bytes
    this.#carry(bytes, this.remaining === 0)
    return bytes
  }
}
