import test from 'ava'
import { account, Desk, LAGGING, MESH, REFUSAL } from './harness.js'

function deskWith (text = MESH): Desk {
  const desk = new Desk()
  desk.files.set('mesh.yaml', text)
  return desk
}

test('an apply shows the difference, waits and says that the version is in force', async (t) => {
  const desk = deskWith()
  desk.platform.beforeHeadWrite = () => desk.platform.set('account/otaru', account('otaru', { 1: 3 }))
  t.snapshot(await desk.run('apply', 'mesh.yaml'))
  desk.files.set('mesh.yaml', MESH.replace('current: v1', 'current: v1, slots: 8').replace(/moves:[^]*/, ''))
  desk.platform.beforeHeadWrite = () => desk.platform.set('account/otaru', account('otaru', { 2: 3 }))
  t.snapshot(await desk.run('apply', 'mesh.yaml'))
  t.snapshot(await desk.run('apply', 'mesh.yaml', '--json'))
})

/** Guards against a wait that ends without naming what is missing. */
const WAITS: Record<string, { accounts: object[], args?: string[], interruptAfterMs?: number, code: number }> = {
  'nobody reports': { accounts: [], code: 0 },
  'no wait asked': { accounts: [account('otaru', { 0: 3 })], args: ['--no-wait'], code: 0 },
  'daemons lag': { accounts: [account('otaru', { 1: 1, 0: 3 }, { lagging: [LAGGING] })], args: ['--timeout', '5s'], code: 1 },
  'a daemon refuses': { accounts: [account('otaru', { 1: 1, 0: 1 }, { refusals: [REFUSAL] })], code: 1 },
  'Ctrl-C while waiting': { accounts: [account('otaru', { 0: 3 })], interruptAfterMs: 2_500, code: 1 }
}

for (const [name, { accounts, args = [], interruptAfterMs, code }] of Object.entries(WAITS)) {
  test(`wait: ${name}`, async (t) => {
    const desk = deskWith()
    desk.platform.beforeHeadWrite = () => {
      for (const [i, own] of accounts.entries()) desk.platform.set(`account/${i}`, own)
    }
    if (interruptAfterMs !== undefined) desk.timers.after(interruptAfterMs, () => desk.interrupt?.())
    const result = await desk.run('apply', 'mesh.yaml', ...args)
    t.is(result.code, code)
    t.snapshot(result)
  })
}

/** Guards against an outcome that is neither resolved nor named as unknown. */
const OUTCOMES: Record<string, { arrange: (desk: Desk) => void, code: number, version: number }> = {
  'the answer is lost and the change took effect': {
    arrange: (desk) => { desk.platform.lostAnswers = [{ takesEffect: true }] }, code: 0, version: 1
  },
  'the answer is lost and the change took no effect': {
    arrange: (desk) => { desk.platform.lostAnswers = [{ takesEffect: false }] }, code: 0, version: 1
  },
  'the answer is lost and the platform comes back late': {
    arrange: (desk) => {
      desk.platform.lostAnswers = [{ takesEffect: true }]
      desk.platform.beforeHeadWrite = () => {
        desk.platform.mode = 'down'
        desk.timers.after(3_500, () => { desk.platform.mode = 'up' })
      }
    },
    code: 0,
    version: 1
  },
  'the answer is lost and the platform stays down': {
    arrange: (desk) => {
      desk.platform.lostAnswers = [{ takesEffect: true }]
      desk.platform.beforeHeadWrite = () => { desk.platform.mode = 'down' }
    },
    code: 3,
    version: 1
  },
  'the platform is down': { arrange: (desk) => { desk.platform.mode = 'down' }, code: 3, version: 0 },
  'the platform answers HTML': { arrange: (desk) => { desk.platform.mode = 'html' }, code: 3, version: 0 },
  'Ctrl-C while the change is sent': {
    arrange: (desk) => { desk.platform.beforeHeadWrite = () => desk.interrupt?.() }, code: 1, version: 1
  }
}

for (const [name, { arrange, code, version }] of Object.entries(OUTCOMES)) {
  test(`outcome: ${name}`, async (t) => {
    const desk = deskWith()
    arrange(desk)
    const result = await desk.run('apply', 'mesh.yaml', '--no-wait')
    t.is(result.code, code)
    t.snapshot(result)
    desk.platform.mode = 'up'
    desk.platform.beforeHeadWrite = () => {}
    const history = JSON.parse((await desk.run('history', '--json')).out) as { version: number }
    t.is(history.version, version)
    const again = await desk.run('apply', 'mesh.yaml', '--no-wait', '--change-id', 'change-1')
    t.is(again.code, 0, 'a repeat with the same change id is safe')
    t.is((JSON.parse((await desk.run('history', '--json')).out) as { version: number }).version, 1)
  })
}

test('operators who race with the same base keep each other\'s changes or get a conflict', async (t) => {
  const desk = deskWith()
  await desk.run('apply', 'mesh.yaml', '--no-wait')
  const other = MESH.replace('path: /orders,', 'path: /orders, timeout: 1s,')
  desk.files.set('mesh.yaml', other)
  await desk.run('apply', 'mesh.yaml', '--no-wait')
  desk.user = 'mari'
  desk.files.set('mesh.yaml', MESH.replace('current: v1', 'current: v1, slots: 9'))
  t.snapshot(await desk.run('apply', 'mesh.yaml', '--no-wait', '--base', '1'))
  desk.files.set('mesh.yaml', MESH.replace('path: /orders,', 'path: /orders, timeout: 2s,'))
  t.snapshot(await desk.run('apply', 'mesh.yaml', '--no-wait', '--base', '1'))
  t.snapshot(await desk.run('apply', 'mesh.yaml', '--no-wait', '--base', '9'))
})

test('deadlines that cannot be met are reported', async (t) => {
  const late = MESH.replace('18:00', '09:00')
  t.snapshot(await deskWith(late).run('check', 'mesh.yaml'))
  t.snapshot(await deskWith(late.replace('09:00:00', '10:00:30')).run('apply', 'mesh.yaml', '--no-wait'))
})

/** Guards against an apply of an unrelated edit that resumes a paused move or undoes a take-back. */
test('an apply keeps what operators asked of a move unless the file states otherwise', async (t) => {
  const desk = deskWith()
  const controls = async (): Promise<string[]> => {
    const { moves } = JSON.parse((await desk.run('moves', '--json')).out) as { moves: { control: string }[] }
    return moves.map(({ control }) => control)
  }
  const applyWith = async (control: string) => {
    desk.files.set('mesh.yaml', MESH.replace('18:00:00Z', `18:00:00Z${control}`).replace('current: v1', 'current: v1, slots: 9'))
    return await desk.run('apply', 'mesh.yaml', '--no-wait')
  }
  await desk.run('apply', 'mesh.yaml', '--no-wait')
  await desk.run('moves', 'pause', 'ordersV2')
  t.snapshot((await applyWith('')).out)
  t.deepEqual(await controls(), ['paused'])
  t.snapshot((await applyWith(', control: run')).out)
  t.deepEqual(await controls(), ['run'])
  await desk.run('moves', 'take-back', 'ordersV2')
  t.snapshot(await applyWith(', control: run'))
  t.snapshot((await applyWith('')).out)
  t.deepEqual(await controls(), ['takeBack'])
})
