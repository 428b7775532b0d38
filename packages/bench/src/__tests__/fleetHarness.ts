import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { ExecutionContext } from 'ava'
import { stringify } from 'yaml'
import { NodeTimers, NoopMetrics, SeededRandom, TokenBucket } from '@lentilwheel/core'
import { accountSchema, ACCOUNT_PREFIX, HttpPlatformClient, readHead } from '@lentilwheel/platform'
import { FakePlatformServer } from '@lentilwheel/testkit'
import { fleetConfig } from '../fleet/changes.js'
import { DaemonFleet } from '../fleet/daemonFleet.js'
import { waitFor } from '../processes.js'

/** Limit of each wait, so that a broken fleet fails the test; nothing is measured against it. */
export const TIMEOUT_MS = 60_000
/** Added to the timeout of service0, so that a test can keep a call to it open. */
const OPEN_CALL_MS = 120_000
/** Eight daemons in four data centres: five can be relays at a time (two in dc1, one in each of the others), three can't. */
const DATA_CENTRES = ['dc1', 'dc1', 'dc1', 'dc1', 'dc1', 'dc2', 'dc3', 'dc4']

/** A fleet with its platform for tests; records the accepted versions and checks which ones the daemons applied. */
export class FleetHarness {
  readonly platform = new FakePlatformServer()
  readonly #rootHashes = new Map<number, string>()
  readonly #versionsBeforeKill = new Map<string, number>()
  fleet!: DaemonFleet
  client!: HttpPlatformClient
  #platformUrl = ''
  readonly #settings: Record<string, unknown>
  #revision = 0

  constructor (settings: Record<string, unknown> = {}) {
    this.#settings = settings
  }

  async start (): Promise<void> {
    this.#platformUrl = await this.platform.listen()
    const timers = new NodeTimers(new SeededRandom(1))
    const budget = new TokenBucket({ perSecond: 1_000, burst: 1_000, now: timers.now() })
    this.client = new HttpPlatformClient({ url: this.#platformUrl, timers, metrics: new NoopMetrics(), budget })
    this.fleet = new DaemonFleet(this.#platformUrl, this.#settings)
    await this.fleet.start(DATA_CENTRES.length, DATA_CENTRES)
    await waitFor('all daemons to be reported on the platform', async () => this.#countReportedDaemons() === DATA_CENTRES.length, TIMEOUT_MS)
  }

  async stop (): Promise<void> {
    for (const daemon of this.fleet.daemons) daemon.process.kill('SIGCONT')
    await this.fleet.stop()
    await this.client.close()
    await this.platform.close()
  }

  /** Runs a `lentilwheel` command against the platform. */
  async cli (...args: string[]) {
    return await this.fleet.group.runCli([...args, '--platform', this.#platformUrl])
  }

  /** Applies a configuration that differs from all earlier ones with `lentilwheel apply`. */
  async apply (...options: string[]) {
    const file = join(this.fleet.group.dir, 'fleet.yaml')
    writeFileSync(file, stringify(fleetConfig(10, new Map([[0, OPEN_CALL_MS], [1, ++this.#revision]]))))
    const result = await this.cli('apply', file, ...options)
    await this.recordAccepted()
    return result
  }

  /** Records the root hash of the version that the platform's head names; 0 while the platform isn't up. */
  async recordAccepted (): Promise<number> {
    if (this.platform.mode !== 'up') return 0
    const { head } = await readHead(this.client)
    this.#rootHashes.set(head.version, head.rootHash)
    return head.version
  }

  /** Resolves when the given daemons are ready at exactly this version. */
  async waitForVersion (version: number, indexes = this.fleet.daemons.map((_, i) => i)): Promise<void> {
    await waitFor(`version ${version} on daemons ${indexes.join(', ')}`, async () => {
      const statuses = await Promise.all(indexes.map(async (i) => await this.fleet.status(i)))
      return statuses.every((status) => status.ready && status.version === version)
    }, TIMEOUT_MS)
  }

  /** Resolves when `lentilwheel status` reports that the version is in force on every daemon. */
  async waitForReportedVersion (version: number): Promise<void> {
    const statement = `is in force on ${DATA_CENTRES.length} of ${DATA_CENTRES.length} daemons`
    await waitFor(`status to say that version ${version} ${statement}`, async () => {
      const { code, stdout } = await this.cli('status')
      return code === 0 && stdout.startsWith(`Version ${version},`) && stdout.includes(statement)
    }, TIMEOUT_MS)
  }

  /** Kills daemons with SIGKILL. The versions that they had applied are the least that they may apply after a restart. */
  async kill (indexes: readonly number[]): Promise<void> {
    for (const { daemon, version } of await Promise.all(indexes.map(async (i) => await this.fleet.status(i)))) {
      this.#versionsBeforeKill.set(daemon, version)
    }
    await Promise.all(indexes.map(async (i) => await this.fleet.kill(i)))
  }

  async killAndRestart (indexes: readonly number[]): Promise<void> {
    await this.kill(indexes)
    for (const i of indexes) this.fleet.restart(i)
  }

  /**
   * Checks that every daemon applied versions in ascending order, also across kills, and that each one has the root
   * hash that was accepted.
   */
  async checkHistory (t: ExecutionContext): Promise<void> {
    for (const [i, { id }] of this.fleet.daemons.entries()) {
      let highest = this.#versionsBeforeKill.get(id) ?? 0
      for (const { type, fields } of await this.fleet.events(i)) {
        if (type !== 'versionInForce') continue
        t.true(fields.version! >= highest, `${id} went from ${highest} to ${fields.version}`)
        highest = fields.version!
        if (highest > 0) t.is(fields['rootHash'], this.#rootHashes.get(highest), `${id} at ${highest}`)
      }
    }
  }

  /** Number of daemons in the relays' accounts. Before each relay has written one, an apply expects too few daemons. */
  #countReportedDaemons (): number {
    const accounts = this.platform.store.list(ACCOUNT_PREFIX)
    return accounts.reduce((sum, [, { value }]) => sum + accountSchema.parse(JSON.parse(new TextDecoder().decode(value))).members, 0)
  }
}
