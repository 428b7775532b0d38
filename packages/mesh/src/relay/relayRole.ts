import type { Cancel } from '@lentilwheel/core'
import { Lease, leaseKey, type Account } from '@lentilwheel/platform'
import { ACCOUNT_PERIOD_MS, LEASE_BUSY_MS, LEASE_RENEW_MS, LEASE_TTL_MS, RELAY_PERIOD_MS } from '../constants.js'
import type { MeshContext } from '../context.js'
import type { StatusCollector } from '../status/collector.js'
import { AccountWriter } from './accountWriter.js'
import { liveRelays, relaySlot } from './election.js'
import { HeadWatch } from './headWatch.js'
import { MoveWriter } from './moveWriter.js'

export interface RelayHooks {
  /** The platform told the head, or that there is none. */
  sawHead (): void
  /** All facts recorded on the platform are merged. */
  sawFacts (): void
  mayLead (): boolean
}

interface Term {
  slot: number
  lease: Lease
  watch: HeadWatch
  account: AccountWriter
  moves: MoveWriter
  leaseDueAt: number
  accountDueAt: number
  isLeasing: boolean
}

/** A place must be free for this many ticks, so that one slow answer of a relay changes nothing. */
const TICKS_BEFORE_TERM = 2

/**
 * The relay's duties, while membership says that this daemon is one. The lease bounds the writers; reading starts at
 * once, so that a data centre whose relays all died waits for no lease to end.
 */
export class RelayRole {
  readonly #ctx: MeshContext
  readonly #collector: StatusCollector
  readonly #hooks: RelayHooks
  #term: Term | undefined
  #wantedTicks = 0
  #cancel: Cancel = () => {}

  constructor (ctx: MeshContext, collector: StatusCollector, hooks: RelayHooks) {
    this.#ctx = ctx
    this.#collector = collector
    this.#hooks = hooks
  }

  get isRelay (): boolean {
    return this.#term !== undefined
  }

  /** First live relay of its data centre: pushes and writes the account. */
  get isFirst (): boolean {
    const { table } = this.#ctx
    return this.isRelay && liveRelays(table, table.self.dataCentre)[0]?.id === table.self.id
  }

  account (): Account | undefined {
    return this.#term?.account.current()
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
    if (!this.#hooks.mayLead()) return
    const slot = relaySlot(this.#ctx.table, this.#term?.lease.isClaimed ?? false)
    if (this.#term && slot === undefined) {
      this.#ctx.detach(this.#end())
      return
    }
    this.#wantedTicks = slot === undefined ? 0 : this.#wantedTicks + 1
    if (slot === undefined) return
    if (!this.#term && this.#wantedTicks < TICKS_BEFORE_TERM) return
    if (!this.#term) this.#begin(slot)
    this.#work(this.#term!)
  }

  #begin (slot: number): void {
    const { opts, table } = this.#ctx
    const { id, dataCentre } = table.self
    const address = `${opts.identity.address}:${opts.identity.ports.mesh}`
    const key = leaseKey(dataCentre, slot)
    const lease = new Lease({ client: opts.platform, timers: opts.timers, key, holder: { id, address }, ttlMs: LEASE_TTL_MS })
    const watch = new HeadWatch(this.#ctx, { isFirst: () => this.isFirst, onHead: () => this.#hooks.sawHead() })
    const account = new AccountWriter(this.#ctx, this.#collector, lease)
    const moves = new MoveWriter(this.#ctx)
    this.#term = { slot, lease, watch, account, moves, leaseDueAt: 0, accountDueAt: 0, isLeasing: false }
    this.#ctx.changeSelf({ relay: slot + 1 })
    this.#ctx.detach(watch.run())
  }

  async #end (): Promise<void> {
    const term = this.#term
    if (!term) return
    this.#term = undefined
    this.#ctx.changeSelf({ relay: 0 })
    await closeTerm(term)
  }

  #work (term: Term): void {
    const now = this.#ctx.opts.timers.now()
    if (now >= term.leaseDueAt && !term.isLeasing) this.#ctx.detach(this.#stepLease(term, now))
    this.#ctx.detach(term.moves.step(term.lease.isHeld()).then(() => this.#hooks.sawFacts()))
    if (now < term.accountDueAt || !this.isFirst) return
    term.accountDueAt = now + ACCOUNT_PERIOD_MS
    this.#ctx.detach(term.account.askLagging().then(async () => await term.account.step()))
  }

  /** Another live relay holds the lease of this slot, as happens when daemons that don't know each other start at once. */
  #isDoubled (term: Term): boolean {
    const { table } = this.#ctx
    return liveRelays(table, table.self.dataCentre).some((record) => {
      return record.id === term.lease.seenHolder && record.id !== table.self.id
    })
  }

  async #stepLease (term: Term, now: number): Promise<void> {
    const { events, log } = this.#ctx.opts
    term.isLeasing = true
    term.leaseDueAt = now + LEASE_RENEW_MS
    try {
      const step = await term.lease.step()
      if (step === 'taken') events.record('leaseTaken', { slot: term.slot })
      if (step === 'busy') term.leaseDueAt = now + LEASE_BUSY_MS
      if (step === 'busy' && this.#isDoubled(term) && this.#term === term) await this.#end()
      if (step !== 'lost') return
      events.record('leaseLost', { slot: term.slot })
      log.info('lease lost, stepping down', { slot: term.slot })
      if (this.#term === term) await this.#end()
    } finally {
      term.isLeasing = false
    }
  }
}

/** A lease that can't be given back now ends by itself. */
async function closeTerm (term: Term): Promise<void> {
  term.watch.stop()
  await term.lease.release().catch(() => {})
}
