import type { Timers } from '@lentilwheel/core'
import type { BriefReport } from '@lentilwheel/moves'
import type { Fleet } from '../fleet/fleet.js'
import type { VersionResults } from './resultAggregator.js'

export interface ReportSenderOptions {
  fleet: Pick<Fleet, 'own' | 'record' | 'firstRanked' | 'sendReports'>
  timers: Pick<Timers, 'now'>
  /** Number of daemons that get the reports. */
  receivers: number
  /** Called with the reports if this daemon is one of them. */
  onOwnReport (report: BriefReport): void
}

interface RecentReport {
  report: BriefReport
  at: number
}

/** What a start of a daemon has got. */
interface Delivery {
  incarnation: number
  sequence: number
}

/** Time for which reports are kept for a daemon that becomes a receiver, as one before it is lost. */
const RETENTION_MS = 10_000
const MAX_RECENT_REPORTS = 64

/**
 * Sends the reports of this daemon to the daemons ranked first. Each of them gets all recent reports in their order: what wasn't delivered is sent again, and one
 * that becomes a receiver later gets what the others have, so that no evidence is lost with a daemon.
 */
export class ReportSender {
  readonly #opts: ReportSenderOptions
  readonly #delivered = new Map<string, Delivery>()
  /** Receivers whose reply is awaited. */
  readonly #sendingTo = new Set<string>()
  #recent: RecentReport[] = []
  #orderId: string | undefined
  #lastSequence = 0

  constructor (opts: ReportSenderOptions) {
    this.#opts = opts
  }

  /** Adds results during the move of an order. What was reported of an earlier order says nothing about this one. */
  add ({ service, rows }: VersionResults, orderId: string | undefined): void {
    const { own } = this.#opts.fleet
    if (orderId !== this.#orderId) this.#recent = []
    this.#orderId = orderId
    const report = { service, daemon: own.host, incarnation: own.incarnation, sequence: ++this.#lastSequence, rows }
    this.#recent.push({ report, at: this.#opts.timers.now() })
  }

  /** Sends each receiver what it hasn't got. */
  send (): void {
    const { fleet, timers, receivers } = this.#opts
    const oldestAt = timers.now() - RETENTION_MS
    this.#recent = this.#recent.filter(({ at }) => at >= oldestAt).slice(-MAX_RECENT_REPORTS)
    if (this.#recent.length === 0) return
    const hosts = fleet.firstRanked(receivers)
    for (const host of this.#delivered.keys()) if (!hosts.includes(host)) this.#delivered.delete(host)
    for (const host of hosts) this.#sendTo(host)
  }

  #sendTo (host: string): void {
    const { fleet, onOwnReport } = this.#opts
    const incarnation = fleet.record(host)?.incarnation ?? 0
    const delivered = this.#delivered.get(host)
    const deliveredUntil = delivered?.incarnation === incarnation ? delivered.sequence : 0
    const reports = this.#recent.map(({ report }) => report).filter(({ sequence }) => sequence > deliveredUntil)
    const last = reports.at(-1)
    if (!last || this.#sendingTo.has(host)) return
    const onDelivered = (): void => { this.#delivered.set(host, { incarnation, sequence: last.sequence }) }
    if (host === fleet.own.host) {
      onDelivered()
      reports.forEach(onOwnReport)
      return
    }
    this.#sendingTo.add(host)
    fleet.sendReports(host, reports).then((hasArrived) => {
      this.#sendingTo.delete(host)
      if (!hasArrived) return
      onDelivered()
      this.send()
    })
  }
}
