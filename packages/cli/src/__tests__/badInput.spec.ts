import test from 'ava'
import fc from 'fast-check'
import { parseCliSettings } from '../settings.js'
import { account, Desk, MESH, RECORD } from './harness.js'

const LAYOUT = (column: string): string => `reports:\n  moves:\n    columns:\n      - ${column}\n`

interface Case {
  args: string[]
  code: number
  arrange?: (desk: Desk) => void
}

const withFile = (text: string) => (desk: Desk): void => { desk.files.set('f', text) }
const withDaemon = (text: string, status = 200) => (desk: Desk): void => { desk.daemon.answer = { status, text } }
const MOVES_OF_DAEMON = ['moves', '--daemon', 'a:1']

/** Guards against messages that do not say what is wrong and what to do. */
const CASES: Record<string, Case> = {
  'no command': { args: [], code: 2 },
  'unknown command': { args: ['statsu'], code: 2 },
  'unknown option': { args: ['status', '--colour'], code: 2 },
  'missing argument': { args: ['apply'], code: 2 },
  'too many arguments': { args: ['check', 'a', 'b'], code: 2 },
  'unknown action': { args: ['moves', 'stop', 'ordersV2'], code: 2 },
  'action without a move': { args: ['moves', 'pause'], code: 2 },
  'option without a value': { args: ['status', '--layout'], code: 2 },
  'option given twice': { args: ['status', '--platform', 'http://a', '--platform', 'http://b'], code: 2 },
  'wrong duration': { args: ['apply', 'f', '--timeout', 'soon'], code: 2 },
  'wrong version': { args: ['apply', 'f', '--base', 'v1'], code: 2 },
  'wrong time': { args: ['timeline', '--since', 'yesterday'], code: 2 },
  'times that cross': { args: ['timeline', '--since', '1m', '--until', '2m'], code: 2 },
  'unknown shell': { args: ['completion', 'fish'], code: 2 },
  'two forms': { args: ['status', '--json', '--csv'], code: 2 },
  'platform that is no address': { args: ['status', '--platform', '10.0.0.5'], code: 2 },
  'no platform': { args: ['status'], code: 2, arrange: (desk) => { delete desk.env['LENTILWHEEL_PLATFORM'] } },
  'missing file': { args: ['check', 'mesh.yaml'], code: 1 },
  'broken configuration': { args: ['check', 'f'], code: 1, arrange: withFile(MESH.replace('service: orders,', 'service: order,')) },
  'broken configuration as JSON': { args: ['check', 'f', '--json'], code: 1, arrange: withFile('routes: 3') },
  'layout that is no YAML': { args: ['moves', '--layout', 'f'], code: 1, arrange: withFile('reports: [') },
  'layout of an unknown report': { args: ['moves', '--layout', 'f'], code: 1, arrange: withFile('reports: { move: {} }') },
  'layout with an unknown field': { args: ['moves', '--layout', 'f'], code: 1, arrange: withFile(LAYOUT('{ title: M, field: idd }')) },
  'layout with a wrong width': { args: ['moves', '--layout', 'f'], code: 1, arrange: withFile(LAYOUT('{ title: M, field: id, width: 0 }')) },
  'layout with an unknown key': { args: ['moves', '--layout', 'f'], code: 1, arrange: withFile(LAYOUT('{ title: M, field: id, widht: 3 }')) },
  'platform that answers HTML': { args: ['status'], code: 3, arrange: (desk) => { desk.platform.mode = 'html' } },
  'platform with a damaged head': { args: ['status'], code: 3, arrange: (desk) => desk.platform.set('config/head', '{') },
  'platform with a damaged account': {
    args: ['status'],
    code: 0,
    arrange: (desk) => {
      desk.platform.set('account/otaru', 'x')
      desk.platform.set('account/sapporo', account('sapporo', { 0: 1 }))
    }
  },
  'daemon that answers HTML': { args: MOVES_OF_DAEMON, code: 3, arrange: withDaemon('<html>Bad gateway</html>', 502) },
  'daemon that answers text': { args: MOVES_OF_DAEMON, code: 3, arrange: withDaemon('ok\n') },
  'daemon without a protocol': { args: MOVES_OF_DAEMON, code: 3, arrange: withDaemon('{"version":3}') },
  'daemon of an unknown protocol': { args: MOVES_OF_DAEMON, code: 1, arrange: withDaemon('{"protocol":2,"fleet":{}}') },
  'daemon that leaves out a field': {
    args: MOVES_OF_DAEMON, code: 3, arrange: withDaemon(JSON.stringify({ protocol: 1, accounts: [], moves: [{ ...RECORD, to: undefined }] }))
  }
}

for (const [name, { args, code, arrange }] of Object.entries(CASES)) {
  test(name, async (t) => {
    const desk = new Desk()
    arrange?.(desk)
    const result = await desk.run(...args)
    t.is(result.code, code)
    t.snapshot(result)
  })
}

/** Guards against a terminal that obeys what another process wrote into a reason. */
test('control characters do not reach the terminal', async (t) => {
  const desk = new Desk()
  desk.platform.set('move/ordersV2', { ...RECORD, reason: 'a\u001b[2Jb\nc' })
  for (const form of [[], ['--csv']]) {
    // eslint-disable-next-line no-control-regex
    t.notRegex((await desk.run('moves', ...form)).out, /\u001b|b\nc/)
  }
})

test('settings are refused with their line or accepted', (t) => {
  for (const text of ['platfrom: http://a', 'platform: ftp://a', 'layout: 3', '[', 'a: &a [*a]', '- 1', 'layout: x\n\nplatfrom: http://a',
    `a: &a [1,1,1,1,1,1,1,1,1]\nb: &b [${'*a,'.repeat(9)}]\nc: &c [${'*b,'.repeat(9)}]\nd: [${'*c,'.repeat(9)}]`]) {
    const err = t.throws(() => parseCliSettings(text), { any: true }) as unknown as Error
    t.snapshot(err.message, text)
  }
  t.deepEqual(parseCliSettings(undefined), {})
  t.deepEqual(parseCliSettings('# nothing'), {})
})

test('no answer of a daemon ends the command without a message', async (t) => {
  const value = fc.oneof(fc.json(), fc.string(), fc.jsonValue().map((accounts) => JSON.stringify({ protocol: 1, accounts, moves: [] })))
  await fc.assert(fc.asyncProperty(value, fc.constantFrom(200, 404, 500), async (text, status) => {
    const desk = new Desk()
    desk.daemon.answer = { status, text }
    const { code, err } = await desk.run('status', '--daemon', 'a:1')
    t.true(code === 0 || err.startsWith('lentilwheel: '), err)
    t.false(err.includes('internal'))
  }), { seed: 41, numRuns: 60 })
})
