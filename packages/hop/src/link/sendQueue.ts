import type { Timers } from '@lentilwheel/core'

/** Something to send over the link of this host, whole or in parts. */
export interface Transfer {
  /** Lower is more urgent. */
  readonly urgency: number
  /** Bytes that have not been written yet; never 0 while it waits. */
  readonly remaining: number
  /** Whether its connection takes nothing for now. */
  isBlocked (): boolean
  /** Writes at most that many bytes to the connection and returns how many, at least one. */
  write (maxBytes: number): number
}

export interface SendQueueOptions {
  timers: Pick<Timers, 'now' | 'after'>
  /** What the link carries, in bytes a millisecond; Infinity for no limit. */
  bytesPerMs: number
}

/** Unit of the speed of a link that daemons tell each other. */
export const BYTES_PER_KIB = 1_024
/** Part of the link that is given out; the rest is for packet headers, and for what is sent past this queue. */
const USABLE_LINK_SHARE = 0.98
/** Bytes that may be given out at once, as milliseconds of the link: later timers than this leave the link idle. */
const MAX_CREDIT_MS = 40
/** Length of one part, as milliseconds of the link: an urgent message waits that long for the part before it. */
const PART_MS = 10
/** Least length of a part, so that narrow links don't carry mostly headers. */
const MIN_PART_BYTES = 4_096
/** Parts that may pass the transfer that has waited longest before one of its own is sent. */
const MAX_PASSING_PARTS = 8

interface Waiting {
  transfer: Transfer
  /** Whether it is longer than one part; such a transfer goes after shorter ones of its urgency. */
  isLong: boolean
  order: number
  /** Called once all of it has been written. */
  onSent: () => void
}

/**
 * Queue before the link of this host. Bytes that a connection has taken can't be put in order any more, so no more is given to the
 * connections than the link carries soon; the rest waits here and goes by urgency, short before long, then by age. The oldest
 * transfer gets a share of the link whatever else there is, so that none waits for ever.
 */
export class SendQueue {
  readonly #opts: SendQueueOptions
  #bytesPerMs = Infinity
  /** Sorted by the order in which it is to be sent. */
  readonly #waiting: Waiting[] = []
  /** Bytes that may be written now; negative after a part that was longer. */
  #credit: number
  #creditAt: number
  #lastOrder = 0
  /** Bytes sent while an older, less urgent transfer waited. */
  #passingBytes = 0
  #isTimerSet = false
  #isSending = false

  constructor (opts: SendQueueOptions) {
    this.#opts = opts
    this.setBytesPerMs(opts.bytesPerMs)
    this.#credit = this.#maxCredit
    this.#creditAt = opts.timers.now()
  }

  /** Changes what the link carries, in bytes a millisecond. */
  setBytesPerMs (bytesPerMs: number): void {
    this.#bytesPerMs = bytesPerMs * USABLE_LINK_SHARE
  }

  /** Longest piece that one write may have while others wait, in bytes. */
  get partBytes (): number {
    return Math.max(MIN_PART_BYTES, this.#bytesPerMs * PART_MS)
  }

  /** Number of transfers that wait. */
  get waiting (): number {
    return this.#waiting.length
  }

  /** Bytes that wait for the link, and not for a connection that takes nothing for now. */
  get backlogBytes (): number {
    if (this.#waiting.length === 0) return 0
    return this.#waiting.reduce((sum, { transfer }) => transfer.isBlocked() ? sum : sum + transfer.remaining, 0)
  }

  /** Milliseconds that the link takes for a number of bytes. */
  durationMs (bytes: number): number {
    return bytes / this.#bytesPerMs
  }

  /** Takes credit for a message that the caller then writes at once; false if it has to wait its turn. */
  trySendNow (bytes: number): boolean {
    if (this.#waiting.length > 0) return false
    if (this.#credit <= bytes) this.#addCredit()
    if (this.#credit <= 0 || (bytes > this.partBytes && bytes > this.#credit)) return false
    this.#credit -= bytes
    return true
  }

  /** Sends a transfer when it is its turn, then calls `onSent`; returns a function that drops what has not been written of it. */
  submit (transfer: Transfer, onSent: () => void = () => {}): () => void {
    const entry = { transfer, isLong: transfer.remaining > this.partBytes, order: ++this.#lastOrder, onSent }
    let index = this.#waiting.length
    while (index > 0 && goesBefore(entry, this.#waiting[index - 1]!)) index--
    this.#waiting.splice(index, 0, entry)
    this.resume()
    return () => this.#remove(entry)
  }

  /** Sends what may be sent now; to be called when a connection takes bytes again. */
  resume (): void {
    if (this.#isSending) return
    this.#isSending = true
    try {
      this.#sendDue()
    } finally {
      this.#isSending = false
      if (this.#next()) this.#scheduleResume()
    }
  }

  /** Sends in order as long as there is credit. */
  #sendDue (): void {
    this.#addCredit()
    for (let next = this.#next(); next && this.#credit > 0; next = this.#next()) this.#send(next)
  }

  get #maxCredit (): number {
    return Math.max(this.partBytes, this.#bytesPerMs * MAX_CREDIT_MS)
  }

  #addCredit (): void {
    const now = this.#opts.timers.now()
    const elapsedMs = now - this.#creditAt
    this.#creditAt = now
    if (elapsedMs > 0) this.#credit = Math.min(this.#maxCredit, this.#credit + elapsedMs * this.#bytesPerMs)
  }

  #send (entry: Waiting): void {
    const isOldest = this.#oldest() === entry
    const bytes = this.#write(entry)
    this.#credit -= bytes
    this.#passingBytes = isOldest ? 0 : this.#passingBytes + bytes
    if (entry.transfer.remaining > 0) return
    this.#remove(entry)
    entry.onSent()
  }

  /** A transfer that fails is dropped, so that it doesn't hold up the others. */
  #write (entry: Waiting): number {
    try {
      return entry.transfer.write(this.partBytes)
    } catch (err) {
      this.#remove(entry)
      throw err
    }
  }

  #remove (entry: Waiting): void {
    const index = this.#waiting.indexOf(entry)
    if (index >= 0) this.#waiting.splice(index, 1)
  }

  /** The first in order whose connection takes bytes, or the oldest one if too much has passed it. */
  #next (): Waiting | undefined {
    const isOldestDue = this.#passingBytes > MAX_PASSING_PARTS * this.partBytes
    const oldest = isOldestDue ? this.#oldest() : undefined
    return oldest ?? this.#waiting.find(({ transfer }) => !transfer.isBlocked())
  }

  #oldest (): Waiting | undefined {
    let oldest: Waiting | undefined
    for (const entry of this.#waiting) if (entry.order < (oldest?.order ?? Infinity) && !entry.transfer.isBlocked()) oldest = entry
    return oldest
  }

  #scheduleResume (): void {
    if (this.#isTimerSet) return
    this.#isTimerSet = true
    this.#opts.timers.after(Math.max(1, -this.#credit / this.#bytesPerMs), () => {
      this.#isTimerSet = false
      this.resume()
    })
  }
}

function goesBefore (a: Waiting, b: Waiting): boolean {
  if (a.transfer.urgency !== b.transfer.urgency) return a.transfer.urgency < b.transfer.urgency
  return Number(a.isLong) < Number(b.isLong)
}
