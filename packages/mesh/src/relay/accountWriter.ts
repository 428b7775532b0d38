import {
  accountKey, decodeAccount, encodeJson, type Account, type Lease
} from '@lentilwheel/platform'
import { CHILD_TIMEOUT_MS, RECORD_CHECK_PERIOD_MS } from '../constants.js'
import type { MeshContext } from '../context.js'
import type { StatusCollector } from '../status/statusCollector.js'

/**
 * Writes the account of the relay's data centre to the platform whenever it changed: which versions its daemons hold, which
 * daemons lag and which versions were refused. While the platform is unreachable the write is retried with the newest
 * account.
 */
export class AccountWriter {
  readonly #ctx: MeshContext
  readonly #collector: StatusCollector
  readonly #lease: Lease
  /** Revision of the stored account; undefined while it has to be read. */
  #revision: number | undefined
  #nextCheckAt = -Infinity
  #writtenContent = ''
  #isWriting = false
  #laggingBefore: ReadonlySet<string> = new Set()

  constructor (ctx: MeshContext, collector: StatusCollector, lease: Lease) {
    this.#ctx = ctx
    this.#collector = collector
    this.#lease = lease
  }

  /** Builds the account from what the relay knows now. */
  current (): Account {
    const { table, floor, opts } = this.#ctx
    const { dataCentre } = table.self
    const others = table.members().filter((member) => member.record.dataCentre === dataCentre)
    const members = [table.self.id, ...others.map((member) => member.record.id)].sort()
    this.#collector.retainMembers(new Set(members))
    const at = opts.timers.wallNow()
    return this.#collector.buildAccount({ dataCentre, at, token: this.#lease.token ?? 0, members, expectedVersion: floor.value })
  }

  /** Pings the daemons that lag now and also lagged at the previous call, since their status report may have been lost. */
  async pingLagging (): Promise<void> {
    const { table, messenger } = this.#ctx
    const lagging = this.current().lagging.map(({ daemon }) => daemon)
    const pinged = lagging.filter((daemon) => this.#laggingBefore.has(daemon))
    this.#laggingBefore = new Set(lagging)
    await Promise.all(pinged.map(async (daemon) => {
      const address = table.get(daemon)?.address
      const header = address && await messenger.request(address, { case: 'ping', value: {} }, CHILD_TIMEOUT_MS)
      if (header && header.from === daemon) this.#collector.recordVersion(daemon, header.version)
    }))
  }

  /** Writes the account if it differs from the last one written and the lease is held; called at most every 2 s. */
  async writeIfChanged (): Promise<void> {
    if (this.#isWriting || !this.#lease.isHeld()) return
    this.#isWriting = true
    try {
      if (this.#revision === undefined || this.#ctx.opts.timers.now() >= this.#nextCheckAt) await this.#load()
      const account = this.current()
      const content = JSON.stringify({ ...account, at: 0 })
      if (content === this.#writtenContent) return
      this.#revision = await this.#write(account)
      this.#writtenContent = content
    } finally {
      this.#isWriting = false
    }
  }

  async #write (account: Account): Promise<number | undefined> {
    const key = accountKey(account.dataCentre)
    try {
      return await this.#ctx.opts.platform.put(key, encodeJson(account), { ifRevision: this.#revision ?? 0 })
    } catch (err) {
      this.#revision = undefined
      this.#writtenContent = ''
      throw err
    }
  }

  /**
   * Reads the revision for the next write, and takes over the refusals that the previous relay had collected. An account
   * other than the one written, or none, makes the next write due.
   */
  async #load (): Promise<void> {
    const stored = await this.#ctx.opts.platform.get(accountKey(this.#ctx.table.self.dataCentre))
    const revision = stored?.revision ?? 0
    if (revision !== this.#revision) this.#writtenContent = ''
    this.#revision = revision
    this.#nextCheckAt = this.#ctx.opts.timers.now() + RECORD_CHECK_PERIOD_MS
    if (!stored) return
    this.#collector.restoreRefusals(decodeAccount(stored.value)?.refusals ?? [])
  }
}
