import type { Cancel } from '@lentilwheel/core'
import { Lease, leaseKey, type Account } from '@lentilwheel/platform'
import { ACCOUNT_PERIOD_MS, LEASE_RETRY_MS, LEASE_RENEW_MS, LEASE_TTL_MS, RELAY_PERIOD_MS } from '../constants.js'
import type { MeshContext } from '../context.js'
import type { StatusCollector } from '../status/statusCollector.js'
import { AccountWriter } from './accountWriter.js'
import { liveRelays, relaySlot } from './election.js'
import { HeadWatcher } from './headWatcher.js'
import { MoveRecordWriter } from './moveRecordWriter.js'

/** What `RelayRole` reports to the `Bootstrapper` and asks of it. */
export interface RelayHooks {
  /** The platform's head was read, or found missing. */
  onHeadRead (): void
  /** All facts recorded on the platform are merged. */
  onFactsLoaded (): void
  /** Whether this daemon has joined the mesh long enough to become relay. */
  canBecomeRelay (): boolean
}

/** State of this daemon while it is relay in one slot of its data centre. */
interface RelayTerm {
  slot: number
  lease: Lease
  headWatcher: HeadWatcher
  accountWriter: AccountWriter
  moveWriter: MoveRecordWriter
  nextLeaseUpdateAt: number
  nextAccountAt: number
  isLeaseUpdateRunning: boolean
}

/**
 * Ticks in a row for which this daemon must be elected before it becomes relay, so that one slow answer of a relay changes
 * nothing.
 */
const TICKS_BEFORE_TERM = 2

/**
 * Makes this daemon a relay while the election over the membership gives it a slot. A relay acquires the lease of its slot,
 * watches the platform's head, records moves and, as the primary relay, writes the account of its data centre. Writes
 * require the lease; reading starts at once, so that a data centre whose relays all died need not wait for a lease to end.
 */
export class RelayRole {
  readonly #ctx: MeshContext
  readonly #collector: StatusCollector
  readonly #hooks: RelayHooks
  #term: RelayTerm | undefined
  #electedTicks = 0
  #cancel: Cancel = () => {}

  constructor (ctx: MeshContext, collector: StatusCollector, hooks: RelayHooks) {
    this.#ctx = ctx
    this.#collector = collector
    this.#hooks = hooks
  }

  get isRelay (): boolean {
    return this.#term !== undefined
  }

  /** Whether this is the first live relay of its data centre, which pushes pulled versions and writes the account. */
  get isPrimary (): boolean {
    const { table } = this.#ctx
    return this.isRelay && liveRelays(table, table.self.dataCentre)[0]?.id === table.self.id
  }

  /** Account of the data centre; undefined unless this daemon is relay. */
  account (): Account | undefined {
    return this.#term?.accountWriter.current()
  }

  start (): void {
    this.#cancel = this.#ctx.opts.timers.every(RELAY_PERIOD_MS, () => this.#tick(), { jitter: 0.2 })
  }

  async stop (): Promise<void> {
    this.#cancel()
    const term = this.#term
    this.#term = undefined
    if (term) await closeTerm(term)
  }

  #tick (): void {
    if (!this.#hooks.canBecomeRelay()) return
    const slot = relaySlot(this.#ctx.table, this.#term?.lease.isClaimed ?? false)
    if (this.#term && slot === undefined) {
      this.#ctx.runInBackground(this.#endTerm())
      return
    }
    this.#electedTicks = slot === undefined ? 0 : this.#electedTicks + 1
    if (slot === undefined) return
    if (!this.#term && this.#electedTicks < TICKS_BEFORE_TERM) return
    if (!this.#term) this.#beginTerm(slot)
    this.#runDuties(this.#term!)
  }

  #beginTerm (slot: number): void {
    const { opts, table } = this.#ctx
    const { id, dataCentre } = table.self
    const address = `${opts.identity.address}:${opts.identity.ports.mesh}`
    const key = leaseKey(dataCentre, slot)
    const lease = new Lease({ client: opts.platform, timers: opts.timers, key, holder: { id, address }, ttlMs: LEASE_TTL_MS })
    const headWatcher = new HeadWatcher(this.#ctx, { isPrimary: () => this.isPrimary, onHeadRead: () => this.#hooks.onHeadRead() })
    const accountWriter = new AccountWriter(this.#ctx, this.#collector, lease)
    const moveWriter = new MoveRecordWriter(this.#ctx)
    this.#term = {
      slot, lease, headWatcher, accountWriter, moveWriter, nextLeaseUpdateAt: 0, nextAccountAt: 0, isLeaseUpdateRunning: false
    }
    this.#ctx.changeSelf({ relay: slot + 1 })
    this.#ctx.runInBackground(headWatcher.run())
  }

  async #endTerm (): Promise<void> {
    const term = this.#term
    if (!term) return
    this.#term = undefined
    this.#ctx.changeSelf({ relay: 0 })
    await closeTerm(term)
  }

  #runDuties (term: RelayTerm): void {
    const now = this.#ctx.opts.timers.now()
    if (now >= term.nextLeaseUpdateAt && !term.isLeaseUpdateRunning) this.#ctx.runInBackground(this.#updateLease(term, now))
    this.#ctx.runInBackground(term.moveWriter.syncRecords(term.lease.isHeld()).then(() => this.#hooks.onFactsLoaded()))
    if (now < term.nextAccountAt || !this.isPrimary) return
    term.nextAccountAt = now + ACCOUNT_PERIOD_MS
    this.#ctx.runInBackground(term.accountWriter.pingLagging().then(async () => await term.accountWriter.writeIfChanged()))
  }

  /**
   * Whether another live relay holds the lease of this slot, as happens when daemons that don't know each other start at
   * the same time.
   */
  #hasLiveLeaseHolder (term: RelayTerm): boolean {
    const { table } = this.#ctx
    return liveRelays(table, table.self.dataCentre).some((record) => {
      return record.id === term.lease.observedHolder && record.id !== table.self.id
    })
  }

  async #updateLease (term: RelayTerm, now: number): Promise<void> {
    const { events, log } = this.#ctx.opts
    term.isLeaseUpdateRunning = true
    term.nextLeaseUpdateAt = now + LEASE_RENEW_MS
    try {
      const result = await term.lease.acquireOrRenew()
      if (result === 'taken') events.record('leaseTaken', { slot: term.slot })
      if (result === 'busy') term.nextLeaseUpdateAt = now + LEASE_RETRY_MS
      if (result === 'busy' && this.#hasLiveLeaseHolder(term) && this.#term === term) await this.#endTerm()
      if (result !== 'lost') return
      events.record('leaseLost', { slot: term.slot })
      log.info('relay lease lost; stepping down', { slot: term.slot })
      if (this.#term === term) await this.#endTerm()
    } finally {
      term.isLeaseUpdateRunning = false
    }
  }
}

/** Stops the watch and releases the lease; a lease that can't be released now expires. */
async function closeTerm (term: RelayTerm): Promise<void> {
  term.headWatcher.stop()
  await term.lease.release().catch(() => {})
}
