import test from 'ava'
import { decodeHead } from '@lentilwheel/platform'
import { CliHarness, makeAccount, LAGGING, MESH_FILE, NOW, MOVE_RECORD, REFUSAL } from './cliHarness.js'

async function populatedHarness (): Promise<CliHarness> {
  const cli = new CliHarness()
  cli.files.set('mesh.yaml', MESH_FILE)
  await cli.run('apply', 'mesh.yaml', '--no-wait')
  cli.platform.set('account/otaru', makeAccount('otaru', { 1: 12, 0: 3 }, { lagging: [LAGGING], refusals: [REFUSAL] }))
  cli.platform.set('account/sapporo', makeAccount('sapporo', { 1: 15 }, { refusals: [{ ...REFUSAL, daemons: ['sapporo-7'] }] }))
  cli.platform.set('move/ordersV2', MOVE_RECORD)
  return cli
}

const REPORTS = ['status', 'moves', 'history', 'refusals', 'timeline', 'explain placeOrder']

for (const command of REPORTS) {
  test(`${command} as text, CSV and JSON`, async (t) => {
    const cli = await populatedHarness()
    const args = command.split(' ')
    t.snapshot((await cli.run(...args)).out)
    t.snapshot((await cli.run(...args, '--csv')).out)
    t.snapshot(JSON.parse((await cli.run(...args, '--json')).out))
  })

  /** Guards against lines that are longer than a narrow terminal, and against values that wrapping drops. */
  test(`${command} at 40 columns`, async (t) => {
    const cli = await populatedHarness()
    const wide = (await cli.run(...command.split(' '))).out
    cli.streams = { columns: 40 }
    const { out } = await cli.run(...command.split(' '))
    t.deepEqual(out.split('\n').filter((line) => line.length > 40), [])
    const words = (text: string): Set<string> => new Set(text.replaceAll(/[\s:]+/g, ' ').split(' '))
    const kept = out.replaceAll(/[\s:]+/g, '')
    t.deepEqual([...words(wide)].filter((word) => !kept.includes(word)), [])
  })
}

test('a terminal gets colours and its whole width', async (t) => {
  const cli = await populatedHarness()
  cli.streams = { columns: 100, colours: true }
  t.snapshot((await cli.run('moves')).out)
})

test('a layout chooses, orders and formats columns', async (t) => {
  const cli = await populatedHarness()
  cli.files.set('short.yaml', `
reports:
  dataCentres:
    columns:
      - { title: Reach, field: share, width: 8, format: percent, decimals: 1, order: 2 }
      - { title: Where, field: dataCentre, width: 12, order: 1 }
`)
  t.snapshot((await cli.run('status', '--layout', 'short.yaml')).out)
  t.snapshot((await cli.run('status', '--layout', 'short.yaml', '--csv')).out)
})

test('status and moves can be read from a daemon while the platform is down', async (t) => {
  const cli = new CliHarness()
  cli.platform.mode = 'down'
  cli.daemon.respondJson({ protocol: 1, accounts: [makeAccount('otaru', { 4: 2, 3: 1 })], moves: [MOVE_RECORD] })
  t.snapshot((await cli.run('status', '--daemon', '127.0.0.1:8081')).out)
  t.snapshot((await cli.run('moves', '--daemon', '127.0.0.1:8081')).out)
})

test('proxy state is shown only with --debug', async (t) => {
  const cli = await populatedHarness()
  const common = { protocol: 1, accounts: [], moves: [], daemon: 'otaru-1', dataCentre: 'otaru', version: 1, ready: true, reason: '' }
  cli.daemon.respondJson({ ...common, debug: { connections: 4 } })
  t.false((await cli.run('status', '--daemon', 'a:1')).out.includes('connections'))
  t.true((await cli.run('status', '--daemon', 'a:1', '--debug')).out.includes('connections: 4'))
  t.is((await cli.run('status', '--debug')).code, 2)
})

test('explain with --daemon counts the targets that the daemon sees', async (t) => {
  const cli = await populatedHarness()
  const target = { service: 'orders', version: 'v1', dataCentre: 'otaru', ready: 3, total: 4 }
  cli.daemon.respondJson({ protocol: 1, daemon: 'd', dataCentre: 'otaru', version: 1, ready: true, reason: '', targets: [target] })
  t.snapshot((await cli.run('explain', 'placeOrder', '--daemon', 'a:1')).out)
  t.snapshot((await cli.run('explain', 'placeOrdr')).err)
})

test('moves actions change the control of a move on the platform', async (t) => {
  const cli = await populatedHarness()
  const results: Record<string, unknown> = {}
  for (const action of ['pause', 'pause', 'resume', 'finish', 'take-back', 'resume']) {
    results[`${Object.keys(results).length + 1} ${action}`] = await cli.run('moves', action, 'ordersV2')
  }
  results['unknown move'] = await cli.run('moves', 'pause', 'orderV2')
  cli.platform.set('move/ordersV2', { ...MOVE_RECORD, outcome: 'takenBack', reason: '3.1% of calls fail', share: 0, at: NOW })
  results['after its end'] = await cli.run('moves', 'finish', 'ordersV2')
  t.snapshot(results)
})

test('an action conflicts with a change of the same move by another operator', async (t) => {
  const cli = await populatedHarness()
  const originalHook = cli.platform.beforeHeadWrite
  let hasRaced = false
  cli.platform.beforeHeadWrite = () => {
    if (hasRaced) return
    hasRaced = true
    const head = decodeHead(cli.platform.store.get('config/head')!.value)
    head.version++
    head.objects['move/ordersV2'] = 'other'
    head.changes.push({ id: 'theirs', version: head.version, acceptedAt: NOW, author: 'mari', replaced: { 'move/ordersV2': 'x' } })
    cli.platform.set('config/head', head)
  }
  t.snapshot(await cli.run('moves', 'pause', 'ordersV2'))
  cli.platform.beforeHeadWrite = originalHook
})

/** Guards against an action that is checked against an older head and undoes a take-back made since. */
test('an action does not undo a take-back that is accepted between its check and its write', async (t) => {
  const cli = await populatedHarness()
  const otherCli = new CliHarness(cli.platform)
  cli.platform.beforeList = async () => {
    cli.platform.beforeList = async () => {}
    t.is((await otherCli.run('moves', 'take-back', 'ordersV2')).code, 0)
  }
  t.snapshot(await cli.run('moves', 'pause', 'ordersV2'))
  const { moves } = JSON.parse((await cli.run('moves', '--json')).out) as { moves: { control: string }[] }
  t.deepEqual(moves.map(({ control }) => control), ['takeBack'])
})

test('a take-back through a daemon works while the platform is down', async (t) => {
  const cli = new CliHarness()
  cli.platform.mode = 'down'
  cli.daemon.respondJson({ protocol: 1, move: 'ordersV2', published: true })
  t.snapshot(await cli.run('moves', 'take-back', 'ordersV2', '--daemon', 'a:1'))
  cli.daemon.respondJson({ protocol: 1, move: 'ordersV2', published: false, outcome: 'done', reason: 'errors equal' })
  t.snapshot(await cli.run('moves', 'take-back', 'ordersV2', '--daemon', 'a:1'))
  t.snapshot(await cli.run('moves', 'pause', 'ordersV2', '--daemon', 'a:1'))
  t.deepEqual(cli.daemon.takeBackRequests, ['ordersV2', 'ordersV2'])
})
