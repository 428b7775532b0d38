import { createHash } from 'node:crypto'
import type { Timers } from '@lentilwheel/core'
import type { CallLog } from '../observe/callLog.js'
import { countCrashes, REPORT_DELAY_MS, type CrashCounts } from './countCrashes.js'
import { MAX_SUSPECTS, type Block, type CrashReport, type QuarantineNews } from './quarantineNews.js'

/**
 * How a request may be sent. `suspect`: it ran on a target that crashed, and runs on one target at a time. `held`: likewise, but it
 * isn't sent for a while. `blocked`: it has crashed several targets and isn't sent at all.
 */
export type Standing = 'clear' | 'suspect' | 'held' | 'blocked'

/** Whether a request isn't sent for now. */
export function isRefused (standing: Standing): boolean {
  return standing === 'held' || standing === 'blocked'
}

export interface QuarantineOptions {
  timers: Pick<Timers, 'now' | 'after' | 'every'>
  log: CallLog
  /** Prefix of the ids of this daemon's reports, which no other daemon and no other start of this one has. */
  idPrefix (): string
  /** Called with what is new here, whether decided here or heard from a peer. */
  onNews (news: QuarantineNews, isOwn: boolean): void
  /** Called when a request has crashed more than one target, so that runs under way are to be cancelled. */
  onRefused (fingerprint: string): void
  /** Called when a request is blocked; `isOwn`: after a crash beside this daemon. */
  onBlocked (block: Block, isOwn: boolean): void
  /** Called when a blocked request has run well beside this daemon. */
  onUnblocked (block: Block): void
}

/** A report as it is kept; `at` by this daemon's clock. */
interface KnownReport {
  service: string
  suspects: Set<string>
  retried: ReadonlySet<string>
  at: number
}

interface KnownBlock {
  level: number
  isCleared: boolean
  at: number
}

/** Crashes after which a request is blocked. */
const MAX_CRASHES = 3
/** Time for which a request isn't sent after its first crash: runs under way elsewhere show by then whether they crash as well. */
export const FIRST_HOLD_MS = 150
/** The same after crashes under two copies of it, a daemon's own retry and crashes with other targets not counted: time for the targets that crashed to be back, so that the request doesn't take one more while they are missing. */
const LATER_HOLD_MS = 5_000
/** Time for which a crash counts against the requests that ran there. */
const SUSPICION_MS = 600_000
/** Length of the first block of a request; each later one is twice as long as the one before, up to a day. */
const FIRST_BLOCK_MS = 3_600_000
const MAX_BLOCK_MS = 24 * 3_600_000
/** After a block has ended, the request is a suspect for as long as it was blocked, and one more crash blocks it again. */
const PROBATION_FACTOR = 2
const MAX_REPORTS = 64
const PRUNE_INTERVAL_MS = 5_000
const MAX_BLOCKS = 512

/**
 * Requests that crash the targets they run on. Each crash is a report with the requests that ran there; one that runs well
 * elsewhere is taken off it. A request that is left on the reports of several crashes is blocked. Reports and blocks merge in any
 * order and any number of times to the same result, so daemons may exchange them freely.
 */
export class Quarantine {
  readonly #opts: QuarantineOptions
  readonly #reports = new Map<string, KnownReport>()
  readonly #blocks = new Map<string, KnownBlock>()
  /** Number of reports on which each suspect is left. */
  readonly #reportCounts = new Map<string, number>()
  /** Blocks of requests that have run well according to the reports being merged. */
  readonly #lifted: Block[] = []
  #lastReport = 0
  #digest: string | undefined

  constructor (opts: QuarantineOptions) {
    this.#opts = opts
    opts.timers.every(PRUNE_INTERVAL_MS, () => this.#prune())
  }

  /** Whether nothing is known against any request. */
  get isEmpty (): boolean {
    return this.#reportCounts.size === 0 && this.#blocks.size === 0
  }

  get counts (): { suspects: number, blocked: number } {
    return { suspects: this.#reportCounts.size, blocked: [...this.#blocks.values()].filter((block) => this.#isInForce(block)).length }
  }

  standing (fingerprint: string): Standing {
    if (this.#isBlocked(fingerprint)) return 'blocked'
    if (this.crashes(fingerprint) === 0) return 'clear'
    return this.#heldMs(fingerprint) > 0 ? 'held' : 'suspect'
  }

  /** Crashes that count against a request. */
  crashes (fingerprint: string): number {
    const block = this.#blocks.get(fingerprint)
    const former = block && !block.isCleared && !this.#isInForce(block) ? MAX_CRASHES - 1 : 0
    return former + this.#crashCounts(fingerprint).total
  }

  /** Milliseconds until a request that is held or blocked may be sent; 0 for others. */
  refusedMs (fingerprint: string): number {
    const block = this.#blocks.get(fingerprint)
    if (block && this.#isInForce(block)) return block.at + blockMs(block.level) - this.#now
    return this.#reportCounts.has(fingerprint) ? this.#heldMs(fingerprint) : 0
  }

  /**
   * Reports a crash of the target beside this daemon, with the requests that may have caused it in the order of their starts. `retried`: those
   * that ran as a daemon's retry.
   */
  reportCrash (service: string, fingerprints: readonly string[], retried: readonly string[] = []): void {
    const id = `${this.#opts.idPrefix()}/${++this.#lastReport}`
    const suspects = [...new Set(fingerprints)].slice(-MAX_SUSPECTS)
    this.#apply({ reports: [{ id, service, suspects, retried: suspects.filter((suspect) => retried.includes(suspect)), ageMs: 0 }], blocks: [] }, true)
  }

  /** Takes a request that has run well beside this daemon off all reports and blocks. */
  clear (fingerprint: string): void {
    const reports = [...this.#reports].filter(([, { suspects }]) => suspects.has(fingerprint)).map(([id, report]) => formatReport(id, report, this.#now))
    for (const report of reports) report.suspects = report.suspects.filter((suspect) => suspect !== fingerprint)
    const block = this.#blocks.get(fingerprint)
    const blocks = block && !block.isCleared ? [{ ...formatBlock(fingerprint, block, this.#now), isCleared: true }] : []
    if (reports.length === 0 && blocks.length === 0) return
    this.#opts.log.decision('suspectCleared', { request: fingerprint, crashes: reports.length, wasBlocked: blocks.length > 0 })
    this.#apply({ reports, blocks }, true)
    for (const cleared of blocks) this.#opts.onUnblocked(cleared)
  }

  /** Merges what a peer or the store told. */
  merge (news: QuarantineNews): void {
    this.#apply(news, false)
  }

  /** Everything known here. */
  all (): QuarantineNews {
    return {
      reports: [...this.#reports].map(([id, report]) => formatReport(id, report, this.#now)),
      blocks: [...this.#blocks].map(([fingerprint, block]) => formatBlock(fingerprint, block, this.#now))
    }
  }

  /** Fingerprint of everything known here; equal on daemons that know the same, and empty when nothing is known. */
  digest (): string {
    this.#digest ??= this.#computeDigest()
    return this.#digest
  }

  /** Forgets reports and blocks after their time. */
  #prune (): void {
    for (const [id, { at }] of this.#reports) if (this.#now - at >= SUSPICION_MS) this.#removeReport(id)
    for (const [fingerprint, { at, level }] of this.#blocks) {
      if (this.#now - at < blockMs(level) * PROBATION_FACTOR) continue
      this.#blocks.delete(fingerprint)
      this.#digest = undefined
    }
  }

  #crashCounts (fingerprint: string): CrashCounts {
    return this.#reportCounts.has(fingerprint) ? countCrashes(fingerprint, this.#reports.values(), this.#now) : { total: 0, lone: 0 }
  }

  get #now (): number {
    return this.#opts.timers.now()
  }

  #isBlocked (fingerprint: string): boolean {
    const block = this.#blocks.get(fingerprint)
    return block !== undefined && this.#isInForce(block)
  }

  /** Milliseconds until a request may be sent again after its last crash. */
  #heldMs (fingerprint: string): number {
    let lastAt = -Infinity
    let copies = 0
    for (const { suspects, retried, at } of this.#reports.values()) {
      if (!suspects.has(fingerprint)) continue
      lastAt = Math.max(lastAt, at)
      if (!retried.has(fingerprint)) copies++
    }
    const holdMs = copies > 1 && this.#crashCounts(fingerprint).lone > 1 ? LATER_HOLD_MS : FIRST_HOLD_MS
    return Math.max(0, lastAt + holdMs - this.#now)
  }

  #isInForce ({ level, isCleared, at }: KnownBlock): boolean {
    return !isCleared && this.#now - at < blockMs(level)
  }

  #apply ({ reports, blocks }: QuarantineNews, isOwn: boolean): void {
    const news: QuarantineNews = {
      reports: reports.filter((report) => this.#mergeReport(report)),
      blocks: [...blocks, ...this.#lifted.splice(0)].filter((block) => this.#mergeBlock(block))
    }
    for (const block of news.blocks) if (!block.isCleared) this.#onBlocked(block, false)
    news.blocks.push(...this.#blockGuilty(news.reports, isOwn))
    this.#refuseSuspects(news.reports)
    if (news.reports.length > 0) this.#opts.timers.after(REPORT_DELAY_MS, () => this.#onSettled(news.reports, isOwn))
    this.#publish(news, isOwn)
  }

  /** Called when the reports of other crashes of the same moment have arrived. */
  #onSettled (reports: readonly CrashReport[], isOwn: boolean): void {
    const blocks = this.#blockGuilty(reports, isOwn)
    this.#refuseSuspects(reports)
    this.#publish({ reports: [], blocks }, isOwn)
  }

  #refuseSuspects (reports: readonly CrashReport[]): void {
    for (const suspect of suspectsOf(reports)) if (this.crashes(suspect) > 1) this.#opts.onRefused(suspect)
  }

  #publish (news: QuarantineNews, isOwn: boolean): void {
    if (news.reports.length === 0 && news.blocks.length === 0) return
    this.#digest = undefined
    this.#opts.onNews(news, isOwn)
  }

  /** Blocks those suspects of the reports against which too many crashes count; returns the new blocks. */
  #blockGuilty (reports: readonly CrashReport[], isOwn: boolean): Block[] {
    return suspectsOf(reports).map((suspect) => this.#blockIfGuilty(suspect, isOwn)).filter((block) => block !== undefined)
  }

  /** Blocks a request against which too many crashes count; returns the new block. */
  #blockIfGuilty (fingerprint: string, isOwn: boolean): Block | undefined {
    if (this.#isBlocked(fingerprint) || this.crashes(fingerprint) < MAX_CRASHES) return undefined
    const block: Block = { fingerprint, level: (this.#blocks.get(fingerprint)?.level ?? 0) + 1, isCleared: false, ageMs: 0 }
    this.#mergeBlock(block)
    this.#onBlocked(block, isOwn)
    return block
  }

  #onBlocked (block: Block, isOwn: boolean): void {
    const { fingerprint, level } = block
    const reports = [...this.#reports].filter(([, { suspects }]) => suspects.has(fingerprint)).map(([id]) => id)
    this.#opts.log.decision('requestBlocked', { request: fingerprint, level, reports, forMs: Math.round(this.refusedMs(fingerprint)) })
    this.#opts.onRefused(fingerprint)
    this.#opts.onBlocked(block, isOwn)
  }

  /** Adds a report, or takes off a known one who is no longer on this; tells whether that changed anything. */
  #mergeReport (report: CrashReport): boolean {
    const { id, suspects } = report
    const known = this.#reports.get(id)
    if (!known) return this.#addReport(report)
    const gone = [...known.suspects].filter((suspect) => !suspects.includes(suspect))
    for (const suspect of gone) {
      known.suspects.delete(suspect)
      this.#countReport(suspect, -1)
      const block = this.#blocks.get(suspect)
      if (block) this.#lifted.push({ ...formatBlock(suspect, block, this.#now), isCleared: true })
    }
    return gone.length > 0
  }

  #addReport ({ id, service, suspects, retried, ageMs }: CrashReport): boolean {
    const at = this.#now - ageMs
    if (ageMs >= SUSPICION_MS || !this.#makeRoom(this.#reports, MAX_REPORTS, at, (oldId) => this.#removeReport(oldId))) return false
    this.#reports.set(id, { service, suspects: new Set(suspects), retried: new Set(retried), at })
    for (const suspect of new Set(suspects)) this.#countReport(suspect, 1)
    return true
  }

  /**
   * Removes the oldest entry if there are as many as may be kept; false if the new one is older still. All daemons keep the
   * newest, so an entry that one has dropped doesn't come back from another again and again.
   */
  #makeRoom (entries: ReadonlyMap<string, { at: number }>, max: number, at: number, remove: (key: string) => void): boolean {
    if (entries.size < max) return true
    const oldestKey = oldest(entries)
    if (entries.get(oldestKey)!.at >= at) return false
    remove(oldestKey)
    return true
  }

  #removeReport (id: string): void {
    for (const suspect of this.#reports.get(id)!.suspects) this.#countReport(suspect, -1)
    this.#reports.delete(id)
    this.#digest = undefined
  }

  #countReport (suspect: string, change: number): void {
    const count = (this.#reportCounts.get(suspect) ?? 0) + change
    if (count > 0) this.#reportCounts.set(suspect, count)
    else this.#reportCounts.delete(suspect)
  }

  /** Keeps the block of the higher level; within a level, a block that was cleared stays so. */
  #mergeBlock ({ fingerprint, level, isCleared, ageMs }: Block): boolean {
    const known = this.#blocks.get(fingerprint)
    const isNews = !known ? ageMs < blockMs(level) * PROBATION_FACTOR : level > known.level || (level === known.level && isCleared && !known.isCleared)
    const at = this.#now - ageMs
    if (!isNews || (!known && !this.#makeRoom(this.#blocks, MAX_BLOCKS, at, (oldFingerprint) => this.#blocks.delete(oldFingerprint)))) return false
    this.#blocks.set(fingerprint, { level, isCleared, at })
    return true
  }

  #computeDigest (): string {
    if (this.#reports.size === 0 && this.#blocks.size === 0) return ''
    const reports = [...this.#reports].map(([id, { suspects }]) => `${id} ${[...suspects].sort().join()}`)
    const blocks = [...this.#blocks].map(([fingerprint, { level, isCleared }]) => `${fingerprint} ${level} ${isCleared}`)
    return createHash('sha1').update([...reports, ...blocks].sort().join('\n')).digest('base64')
  }
}

function suspectsOf (reports: readonly CrashReport[]): string[] {
  return [...new Set(reports.flatMap(({ suspects }) => suspects))]
}

/** Length of a block, by its level. */
function blockMs (level: number): number {
  return Math.min(MAX_BLOCK_MS, FIRST_BLOCK_MS * 2 ** (level - 1))
}

function formatReport (id: string, { service, suspects, retried, at }: KnownReport, now: number): CrashReport {
  return { id, service, suspects: [...suspects], retried: [...retried], ageMs: now - at }
}

function formatBlock (fingerprint: string, { level, isCleared, at }: KnownBlock, now: number): Block {
  return { fingerprint, level, isCleared, ageMs: now - at }
}

/** Key of the entry that has been known longest by its own time. */
function oldest (entries: ReadonlyMap<string, { at: number }>): string {
  let oldestKey = ''
  let oldestAt = Infinity
  for (const [key, { at }] of entries) {
    if (at >= oldestAt) continue
    oldestAt = at
    oldestKey = key
  }
  return oldestKey
}
