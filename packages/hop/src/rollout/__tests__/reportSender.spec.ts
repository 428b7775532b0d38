import test from 'ava'
import { VirtualTimers } from '@lentilwheel/core'
import type { BriefReport } from '@lentilwheel/moves'
import { testHost } from '../../__tests__/fixtures.js'
import { ReportSender } from '../reportSender.js'

const RETENTION_MS = 10_000
const ORDER = 's/v2@1'

class Setup {
  readonly timers = new VirtualTimers()
  readonly sender: ReportSender
  readonly own: number[] = []
  /** Numbers of the reports in each message, by receiver. */
  readonly received: Record<string, number[][]> = {}
  receivers = ['own', 'b', 'c']
  /** Hosts that don't reply. */
  readonly silent = new Set<string>()
  readonly incarnations: Record<string, number> = {}
  #replies: (() => void)[] = []

  constructor () {
    this.sender = new ReportSender({
      fleet: {
        own: testHost('own'),
        record: (host) => ({ ...testHost(host), incarnation: this.incarnations[host] ?? 1 }),
        firstRanked: () => this.receivers,
        sendReports: async (host, reports) => await this.#receive(host, reports)
      },
      timers: this.timers,
      receivers: 3,
      onOwnReport: ({ sequence }) => this.own.push(sequence)
    })
  }

  report (orderId = ORDER): void {
    this.sender.add({ service: 's', rows: [] }, orderId)
    this.sender.send()
  }

  /** Lets all replies arrive that are under way. */
  async reply (): Promise<void> {
    for (const reply of this.#replies.splice(0)) reply()
    for (let i = 0; i < 5; i++) await Promise.resolve()
  }

  async #receive (host: string, reports: BriefReport[]): Promise<boolean> {
    const isSilent = this.silent.has(host)
    if (!isSilent) (this.received[host] ??= []).push(reports.map(({ sequence }) => sequence))
    await new Promise<void>((resolve) => { this.#replies.push(resolve) })
    return !isSilent
  }
}

test('guards against reports to a daemon that does not reply being lost, or overtaking each other', async (t) => {
  const setup = new Setup()
  setup.silent.add('b')
  setup.report()
  setup.report()
  await setup.reply()
  setup.silent.delete('b')
  setup.sender.send()
  await setup.reply()
  t.deepEqual(setup.received, { b: [[1, 2]], c: [[1], [2]] })
  t.deepEqual(setup.own, [1, 2])
})

test('guards against a daemon that becomes a receiver, or starts again, not hearing of the reports so far', async (t) => {
  const setup = new Setup()
  setup.report()
  await setup.reply()
  setup.receivers = ['own', 'c', 'd']
  setup.report()
  await setup.reply()
  setup.incarnations['c'] = 2
  setup.report()
  await setup.reply()
  t.deepEqual(setup.received, { b: [[1]], c: [[1], [2], [1, 2, 3]], d: [[1, 2], [3]] })
})

test('guards against reports of an earlier order or of long ago counting against a version', async (t) => {
  const setup = new Setup()
  setup.report()
  setup.receivers = ['d']
  setup.report('s/v2@2')
  await setup.reply()
  setup.timers.advance(RETENTION_MS + 1)
  setup.receivers = ['e']
  setup.report('s/v2@2')
  t.deepEqual(setup.received, { b: [[1]], c: [[1]], d: [[2]], e: [[3]] })
})
