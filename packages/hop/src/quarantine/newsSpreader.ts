import type { Timers } from '@lentilwheel/core'
import type { Block, CrashReport, QuarantineNews } from './quarantineNews.js'

export interface NewsSpreaderOptions {
  timers: Pick<Timers, 'now' | 'after'>
  /** Sends news to a number of random peers. */
  send (news: QuarantineNews, peers: number): void
}

/** Peers told by the daemon that saw a crash; with fewer daemons, all hear of it at once. */
const OWN_FANOUT = 16
/** Peers told by each daemon that hears of it for the first time. */
const RELAY_FANOUT = 3
/** Least time between two messages to the same peers; news in between are sent together. */
const MIN_INTERVAL_MS = 50

/**
 * Spreads news by gossip: every daemon to which something is new tells a few others, so each sends a bounded number of messages
 * however many daemons there are. The periodic exchange between daemons repairs what this leaves out.
 */
export class NewsSpreader {
  readonly #opts: NewsSpreaderOptions
  readonly #reports = new Map<string, CrashReport>()
  readonly #blocks = new Map<string, Block>()
  #fanout = 0
  #lastSentAt = -Infinity

  constructor (opts: NewsSpreaderOptions) {
    this.#opts = opts
  }

  spread ({ reports, blocks }: QuarantineNews, isOwn: boolean): void {
    for (const report of reports) this.#reports.set(report.id, report)
    for (const block of blocks) this.#blocks.set(block.fingerprint, block)
    const isScheduled = this.#fanout > 0
    this.#fanout = Math.max(this.#fanout, isOwn ? OWN_FANOUT : RELAY_FANOUT)
    if (isScheduled) return
    const waitMs = this.#lastSentAt + MIN_INTERVAL_MS - this.#opts.timers.now()
    if (waitMs <= 0) this.#flush()
    else this.#opts.timers.after(waitMs, () => this.#flush())
  }

  #flush (): void {
    const news = { reports: [...this.#reports.values()], blocks: [...this.#blocks.values()] }
    const fanout = this.#fanout
    this.#reports.clear()
    this.#blocks.clear()
    this.#fanout = 0
    this.#lastSentAt = this.#opts.timers.now()
    this.#opts.send(news, fanout)
  }
}
