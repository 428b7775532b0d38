import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { ExecutionContext } from 'ava'
import { stringify } from 'yaml'
import { NodeTimers, NoMetrics, SeededRandom, TokenBucket } from '@lentilwheel/core'
import { accountSchema, ACCOUNT_PREFIX, HttpPlatformClient, readHead } from '@lentilwheel/platform'
import { PlatformServer } from '@lentilwheel/testkit'
import { fleetConfig } from '../fleet/changes.js'
import { Fleet } from '../fleet/fleet.js'
import { waitFor } from '../processes.js'

/** Fail-safe only; nothing is measured against it. */
export const LIMIT_MS = 60_000
/** Added to the time-out of service0, so that tests can hold a call open. */
const HELD_CALL_MS = 120_000
/** Eight daemons in four data centres, of which five can be relays and three can't. */
const DATA_CENTRES = ['dc1', 'dc1', 'dc1', 'dc1', 'dc1', 'dc2', 'dc3', 'dc4']

/** A fleet, its platform and what was accepted, to compare what daemons held with it. */
export class FleetRig {
  readonly platform = new PlatformServer()
  readonly #rootHashes = new Map<number, string>()
  readonly #held = new Map<string, number>()
  fleet!: Fleet
  client!: HttpPlatformClient
  #url = ''
  readonly #settings: Record<string, unknown>
  #revision = 0

  constructor (settings: Record<string, unknown> = {}) {
    this.#settings = settings
  }

  async start (): Promise<void> {
    this.#url = await this.platform.listen()
    const timers = new NodeTimers(new SeededRandom(1))
    const budget = new TokenBucket({ perSecond: 1_000, burst: 1_000, now: timers.now() })
    this.client = new HttpPlatformClient({ url: this.#url, timers, metrics: new NoMetrics(), budget })
    this.fleet = new Fleet(this.#url, this.#settings)
    await this.fleet.start(DATA_CENTRES.length, DATA_CENTRES)
    await waitFor('all daemons to be reported on the platform', async () => this.#reported() === DATA_CENTRES.length, LIMIT_MS)
  }

  async stop (): Promise<void> {
    for (const daemon of this.fleet.daemons) daemon.process.kill('SIGCONT')
    await this.fleet.stop()
    await this.client.close()
    await this.platform.close()
  }

  /** Runs `lentilwheel` against the platform. */
  async cli (...args: string[]) {
    return await this.fleet.group.runCli([...args, '--platform', this.#url])
  }

  /** Applies a configuration that differs from the ones before it. */
  async apply (...options: string[]) {
    const file = join(this.fleet.group.dir, 'fleet.yaml')
    writeFileSync(file, stringify(fleetConfig(10, new Map([[0, HELD_CALL_MS], [1, ++this.#revision]]))))
    const result = await this.cli('apply', file, ...options)
    await this.noteAccepted()
    return result
  }

  async noteAccepted (): Promise<number> {
    if (this.platform.mode !== 'up') return 0
    const { head } = await readHead(this.client)
    this.#rootHashes.set(head.version, head.rootHash)
    return head.version
  }

  async inForce (version: number, indexes = this.fleet.daemons.map((_, i) => i)): Promise<void> {
    await waitFor(`version ${version} on daemons ${indexes.join(', ')}`, async () => {
      const statuses = await Promise.all(indexes.map(async (i) => await this.fleet.status(i)))
      return statuses.every((status) => status.ready && status.version === version)
    }, LIMIT_MS)
  }

  /** Resolves when `lentilwheel status` says that the version is in force on every daemon. */
  async toldEverywhere (version: number): Promise<void> {
    const sentence = `is in force on ${DATA_CENTRES.length} of ${DATA_CENTRES.length} daemons`
    await waitFor(`status to say that version ${version} ${sentence}`, async () => {
      const { code, stdout } = await this.cli('status')
      return code === 0 && stdout.startsWith(`Version ${version},`) && stdout.includes(sentence)
    }, LIMIT_MS)
  }

  /** Ends daemons without warning; what they held is the least that their next runs may hold. */
  async kill (indexes: readonly number[]): Promise<void> {
    for (const { daemon, version } of await Promise.all(indexes.map(async (i) => await this.fleet.status(i)))) {
      this.#held.set(daemon, version)
    }
    await Promise.all(indexes.map(async (i) => await this.fleet.kill(i)))
  }

  async killAndRestart (indexes: readonly number[]): Promise<void> {
    await this.kill(indexes)
    for (const i of indexes) this.fleet.restart(i)
  }

  /** Each run begins at or above what the run before it held, never goes back, and holds only whole versions. */
  async checkHistory (t: ExecutionContext): Promise<void> {
    for (const [i, { id }] of this.fleet.daemons.entries()) {
      let highest = this.#held.get(id) ?? 0
      for (const { type, fields } of await this.fleet.events(i)) {
        if (type !== 'versionInForce') continue
        t.true(fields.version! >= highest, `${id} went from ${highest} to ${fields.version}`)
        highest = fields.version!
        if (highest > 0) t.is(fields['rootHash'], this.#rootHashes.get(highest), `${id} at ${highest}`)
      }
    }
  }

  /** Daemons in the accounts; until a relay has written its first, an apply knows of fewer daemons than run. */
  #reported (): number {
    const accounts = this.platform.store.list(ACCOUNT_PREFIX)
    return accounts.reduce((sum, [, { value }]) => sum + accountSchema.parse(JSON.parse(new TextDecoder().decode(value))).members, 0)
  }
}
