import test from 'ava'
import type { ReportedEvent } from '../account/schema.js'
import { activeVersionSeries, shareSeries } from '../timeline/series.js'
import { timeTicks } from '../timeline/plot.js'
import { CliHarness, NOW } from './cliHarness.js'

function event (id: string, second: number, type: string, fields: ReportedEvent['fields'], cause?: string): ReportedEvent {
  const daemon = id.split('#')[0]!
  return { id, daemon, time: { wallMs: NOW - 60_000 + second * 1000, counter: 0 }, type, fields, ...(cause && { cause }) }
}

const EVENTS = [
  event('d1#1', 0, 'versionAccepted', { version: 1, author: 'ayana' }, 'change-1'),
  event('d1#2', 1, 'versionInForce', { version: 1 }, 'change-1'),
  event('d2#1', 2, 'versionInForce', { version: 1 }, 'change-1'),
  event('d1#3', 10, 'moveStarted', { move: 'ordersV2', service: 'orders' }, 'ordersV2'),
  event('d1#4', 12, 'moveStage', { move: 'ordersV2', share: 0.05, stage: 1 }, 'ordersV2'),
  event('d2#2', 14, 'moveRollback', { move: 'ordersV2', reason: '<b>3%</b> of calls fail' }, 'd1#4'),
  event('d2#3', 20, 'versionInForce', { version: 2 }, 'change-2'),
  event('d1#5', 21, 'daemonStopping', {})
]

function harnessWith (events: readonly ReportedEvent[], silent: string[] = []): CliHarness {
  const cli = new CliHarness()
  cli.daemon.respondJson({ protocol: 1, events, silent })
  return cli
}

const idsOf = (out: string): string[] => (JSON.parse(out) as { events: ReportedEvent[] }).events.map(({ id }) => id)

/** Guards against a filter that drops the events that a matching event caused. */
const FILTERS: Record<string, { args: string[], ids: string[] }> = {
  nothing: { args: [], ids: EVENTS.map(({ id }) => id) },
  service: { args: ['--service', 'orders'], ids: ['d1#3', 'd1#4', 'd2#2'] },
  move: { args: ['--move', 'ordersV2'], ids: ['d1#3', 'd1#4', 'd2#2'] },
  version: { args: ['--config-version', '2'], ids: ['d2#3'] },
  'since a duration': { args: ['--since', '40s'], ids: ['d2#3', 'd1#5'] },
  'until a time': { args: ['--until', '2026-12-04T09:59:02Z'], ids: ['d1#1', 'd1#2', 'd2#1'] },
  'all at once': { args: ['--move', 'ordersV2', '--service', 'orders', '--since', '47s'], ids: ['d2#2'] }
}

for (const [name, { args, ids }] of Object.entries(FILTERS)) {
  test(`filter by ${name}`, async (t) => {
    const cli = harnessWith([...EVENTS.toReversed(), EVENTS[0]!])
    t.deepEqual(idsOf((await cli.run('timeline', '--daemon', 'a:1', '--json', ...args)).out), ids)
  })
}

test('daemons that did not answer are named', async (t) => {
  const cli = harnessWith(EVENTS.slice(0, 1), ['d7', 'd9'])
  t.snapshot(await cli.run('timeline', '--daemon', 'a:1'))
})

test('series give the share of each move and the number of daemons of each version', (t) => {
  const values = ({ name, points }: { name: string, points: { value: number }[] }) => [name, ...points.map(({ value }) => value)]
  t.deepEqual(shareSeries(EVENTS).map(values), [['ordersV2', 0, 0.05, 0]])
  t.deepEqual(activeVersionSeries(EVENTS).map(values), [['version 1', 1, 2, 1, 0], ['version 2', 1]])
})

test('the page needs no other file and escapes text from daemons', async (t) => {
  const cli = harnessWith(EVENTS, ['d7'])
  const result = await cli.run('timeline', '--daemon', 'a:1', '--html', 'move.html', '--move', 'ordersV2')
  t.is(result.out, 'move.html: 3 events written.\n')
  const page = cli.files.get('move.html')!
  t.snapshot(page.replace(/<style>[^]*<\/style>/, '').replace(/<script>[^]*<\/script>/, ''))
  t.false(page.includes('<b>3%</b>'))
  t.notRegex(page, /(src|href)=|url\(|@import|https?:/)
})

test('a page without events is written and says so', async (t) => {
  const cli = harnessWith([])
  t.is((await cli.run('timeline', '--daemon', 'a:1', '--html', 'empty.html')).code, 0)
  t.true(cli.files.get('empty.html')!.includes('no such events'))
})

test('the time axis has a few round labels for any span', (t) => {
  for (const span of [0, 5, 900, 60_000, 7_200_000, 30 * 86_400_000]) {
    const ticks = timeTicks(NOW, NOW + span, 4)
    t.true(ticks.length <= 5, String(span))
    t.snapshot(ticks.map(({ label }) => label), `${span} ms`)
  }
})
