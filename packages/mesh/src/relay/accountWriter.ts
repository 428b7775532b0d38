import {
  accountKey, decodeAccount, encodeJson, type Account, type Lease
} from '@lentilwheel/platform'
import { CHILD_TIMEOUT_MS } from '../constants.js'
import type { MeshContext } from '../context.js'
import type { StatusCollector } from '../status/collector.js'

/** Writes the account of the data centre when it changed; while the platform is down the newest one is kept. */
export class AccountWriter {
  readonly #ctx: MeshContext
  readonly #collector: StatusCollector
  readonly #lease: Lease
  #revision: number | undefined
  #written = ''
  #isWriting = false
  #lagging: ReadonlySet<string> = new Set()

  constructor (ctx: MeshContext, collector: StatusCollector, lease: Lease) {
    this.#ctx = ctx
    this.#collector = collector
    this.#lease = lease
  }

  current (): Account {
    const { table, floor, opts } = this.#ctx
    const { dataCentre } = table.self
    const others = table.members().filter((member) => member.record.dataCentre === dataCentre)
    const members = [table.self.id, ...others.map((member) => member.record.id)].sort()
    this.#collector.retain(new Set(members))
    const at = opts.timers.wallNow()
    return this.#collector.account({ dataCentre, at, token: this.#lease.token ?? 0, members, version: floor.value })
  }

  /** Asks those that lagged at the step before, too, since their report may have been lost. */
  async askLagging (): Promise<void> {
    const { table, messenger } = this.#ctx
    const lagging = this.current().lagging.map(({ daemon }) => daemon)
    const asked = lagging.filter((daemon) => this.#lagging.has(daemon))
    this.#lagging = new Set(lagging)
    await Promise.all(asked.map(async (daemon) => {
      const address = table.get(daemon)?.address
      const header = address && await messenger.request(address, { case: 'ping', value: {} }, CHILD_TIMEOUT_MS)
      if (header && header.from === daemon) this.#collector.saw(daemon, header.version)
    }))
  }

  /** One step; called at most every 2 s. */
  async step (): Promise<void> {
    if (this.#isWriting || !this.#lease.isHeld()) return
    this.#isWriting = true
    try {
      if (this.#revision === undefined) await this.#load()
      const account = this.current()
      const content = JSON.stringify({ ...account, at: 0 })
      if (content === this.#written) return
      this.#revision = await this.#write(account)
      this.#written = content
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
      this.#written = ''
      throw err
    }
  }

  /** Reads the revision for the next write, and takes over the refusals that the relay before gathered. */
  async #load (): Promise<void> {
    const stored = await this.#ctx.opts.platform.get(accountKey(this.#ctx.table.self.dataCentre))
    this.#revision = stored?.revision ?? 0
    if (!stored) return
    this.#collector.inherit(decodeAccount(stored.value)?.refusals ?? [])
  }
}
