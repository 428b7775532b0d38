import test from 'ava'
import { CliHarness, makeAccount, LAGGING, MESH_FILE, REFUSAL } from './cliHarness.js'

function harnessWith (text = MESH_FILE): CliHarness {
  const cli = new CliHarness()
  cli.files.set('mesh.yaml', text)
  return cli
}

test('apply prints the differences, waits and reports that the version is in force everywhere', async (t) => {
  const cli = harnessWith()
  cli.platform.beforeHeadWrite = () => cli.platform.set('account/otaru', makeAccount('otaru', { 1: 3 }))
  t.snapshot(await cli.run('apply', 'mesh.yaml'))
  cli.files.set('mesh.yaml', MESH_FILE.replace('current: v1', 'current: v1, slots: 8').replace(/moves:[^]*/, ''))
  cli.platform.beforeHeadWrite = () => cli.platform.set('account/otaru', makeAccount('otaru', { 2: 3 }))
  t.snapshot(await cli.run('apply', 'mesh.yaml'))
  t.snapshot(await cli.run('apply', 'mesh.yaml', '--json'))
})

/** Guards against a wait that ends without naming the daemons that lack the version. */
const WAITS: Record<string, { accounts: object[], args?: string[], interruptAfterMs?: number, code: number }> = {
  'no daemon reports': { accounts: [], code: 0 },
  'not requested': { accounts: [makeAccount('otaru', { 0: 3 })], args: ['--no-wait'], code: 0 },
  'daemons lag': { accounts: [makeAccount('otaru', { 1: 1, 0: 3 }, { lagging: [LAGGING] })], args: ['--timeout', '5s'], code: 1 },
  'a daemon refuses': { accounts: [makeAccount('otaru', { 1: 1, 0: 1 }, { refusals: [REFUSAL] })], code: 1 },
  'Ctrl-C while waiting': { accounts: [makeAccount('otaru', { 0: 3 })], interruptAfterMs: 2_500, code: 1 }
}

for (const [name, { accounts, args = [], interruptAfterMs, code }] of Object.entries(WAITS)) {
  test(`wait: ${name}`, async (t) => {
    const cli = harnessWith()
    cli.platform.beforeHeadWrite = () => {
      for (const [i, own] of accounts.entries()) cli.platform.set(`account/${i}`, own)
    }
    if (interruptAfterMs !== undefined) cli.timers.after(interruptAfterMs, () => cli.interrupt?.())
    const result = await cli.run('apply', 'mesh.yaml', ...args)
    t.is(result.code, code)
    t.snapshot(result)
  })
}

/** Guards against a lost response after which the command reports a wrong outcome, or does not say that it is unknown. */
const OUTCOMES: Record<string, { arrange: (cli: CliHarness) => void, code: number, version: number }> = {
  'the response is lost and the change took effect': {
    arrange: (cli) => { cli.platform.lostResponses = [{ takesEffect: true }] }, code: 0, version: 1
  },
  'the response is lost and the change took no effect': {
    arrange: (cli) => { cli.platform.lostResponses = [{ takesEffect: false }] }, code: 0, version: 1
  },
  'the response is lost and the platform recovers after some seconds': {
    arrange: (cli) => {
      cli.platform.lostResponses = [{ takesEffect: true }]
      cli.platform.beforeHeadWrite = () => {
        cli.platform.mode = 'down'
        cli.timers.after(3_500, () => { cli.platform.mode = 'up' })
      }
    },
    code: 0,
    version: 1
  },
  'the response is lost and the platform stays down': {
    arrange: (cli) => {
      cli.platform.lostResponses = [{ takesEffect: true }]
      cli.platform.beforeHeadWrite = () => { cli.platform.mode = 'down' }
    },
    code: 3,
    version: 1
  },
  'the platform is down': { arrange: (cli) => { cli.platform.mode = 'down' }, code: 3, version: 0 },
  'the platform answers HTML': { arrange: (cli) => { cli.platform.mode = 'html' }, code: 3, version: 0 },
  'Ctrl-C while the change is sent': {
    arrange: (cli) => { cli.platform.beforeHeadWrite = () => cli.interrupt?.() }, code: 1, version: 1
  }
}

for (const [name, { arrange, code, version }] of Object.entries(OUTCOMES)) {
  test(`outcome: ${name}`, async (t) => {
    const cli = harnessWith()
    arrange(cli)
    const result = await cli.run('apply', 'mesh.yaml', '--no-wait')
    t.is(result.code, code)
    t.snapshot(result)
    cli.platform.mode = 'up'
    cli.platform.beforeHeadWrite = () => {}
    const history = JSON.parse((await cli.run('history', '--json')).out) as { version: number }
    t.is(history.version, version)
    const again = await cli.run('apply', 'mesh.yaml', '--no-wait', '--change-id', 'change-1')
    t.is(again.code, 0, 'a repeat with the same change id is safe')
    t.is((JSON.parse((await cli.run('history', '--json')).out) as { version: number }).version, 1)
  })
}

test('changes of two operators with the same base are merged or conflict', async (t) => {
  const cli = harnessWith()
  await cli.run('apply', 'mesh.yaml', '--no-wait')
  const other = MESH_FILE.replace('path: /orders,', 'path: /orders, timeout: 1s,')
  cli.files.set('mesh.yaml', other)
  await cli.run('apply', 'mesh.yaml', '--no-wait')
  cli.user = 'mari'
  cli.files.set('mesh.yaml', MESH_FILE.replace('current: v1', 'current: v1, slots: 9'))
  t.snapshot(await cli.run('apply', 'mesh.yaml', '--no-wait', '--base', '1'))
  cli.files.set('mesh.yaml', MESH_FILE.replace('path: /orders,', 'path: /orders, timeout: 2s,'))
  t.snapshot(await cli.run('apply', 'mesh.yaml', '--no-wait', '--base', '1'))
  t.snapshot(await cli.run('apply', 'mesh.yaml', '--no-wait', '--base', '9'))
})

test('check and apply warn of deadlines that cannot be met', async (t) => {
  const late = MESH_FILE.replace('18:00', '09:00')
  t.snapshot(await harnessWith(late).run('check', 'mesh.yaml'))
  t.snapshot(await harnessWith(late.replace('09:00:00', '10:00:30')).run('apply', 'mesh.yaml', '--no-wait'))
})

/** Guards against an apply for an unrelated edit that resumes a paused move or undoes a rollback. */
test('apply keeps the control that operators set for a move unless the file sets one', async (t) => {
  const cli = harnessWith()
  const controls = async (): Promise<string[]> => {
    const { moves } = JSON.parse((await cli.run('moves', '--json')).out) as { moves: { control: string }[] }
    return moves.map(({ control }) => control)
  }
  const applyWith = async (control: string) => {
    cli.files.set('mesh.yaml', MESH_FILE.replace('18:00:00Z', `18:00:00Z${control}`).replace('current: v1', 'current: v1, slots: 9'))
    return await cli.run('apply', 'mesh.yaml', '--no-wait')
  }
  await cli.run('apply', 'mesh.yaml', '--no-wait')
  await cli.run('moves', 'pause', 'ordersV2')
  t.snapshot((await applyWith('')).out)
  t.deepEqual(await controls(), ['paused'])
  t.snapshot((await applyWith(', control: run')).out)
  t.deepEqual(await controls(), ['run'])
  await cli.run('moves', 'take-back', 'ordersV2')
  t.snapshot(await applyWith(', control: run'))
  t.snapshot((await applyWith('')).out)
  t.deepEqual(await controls(), ['takeBack'])
})
