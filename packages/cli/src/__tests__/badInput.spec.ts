import test from 'ava'
import fc from 'fast-check'
import { parseCliSettings } from '../settings.js'
import { CliHarness, makeAccount, MESH_FILE, MOVE_RECORD } from './cliHarness.js'

const LAYOUT = (column: string): string => `reports:\n  moves:\n    columns:\n      - ${column}\n`

interface Case {
  args: string[]
  code: number
  arrange?: (cli: CliHarness) => void
}

const withFileText = (text: string) => (cli: CliHarness): void => { cli.files.set('f', text) }
const withDaemonResponse = (text: string, status = 200) => (cli: CliHarness): void => { cli.daemon.response = { status, text } }
const MOVES_OF_DAEMON = ['moves', '--daemon', 'a:1']

/** Guards against error messages that do not say what is wrong and what to do next. */
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
  'start after end': { args: ['timeline', '--since', '1m', '--until', '2m'], code: 2 },
  'unknown shell': { args: ['completion', 'fish'], code: 2 },
  'two output formats': { args: ['status', '--json', '--csv'], code: 2 },
  'platform that is no address': { args: ['status', '--platform', '10.0.0.5'], code: 2 },
  'no platform': { args: ['status'], code: 2, arrange: (cli) => { delete cli.env['LENTILWHEEL_PLATFORM'] } },
  'missing file': { args: ['check', 'mesh.yaml'], code: 1 },
  'broken configuration': { args: ['check', 'f'], code: 1, arrange: withFileText(MESH_FILE.replace('service: orders,', 'service: order,')) },
  'broken configuration as JSON': { args: ['check', 'f', '--json'], code: 1, arrange: withFileText('routes: 3') },
  'layout that is no YAML': { args: ['moves', '--layout', 'f'], code: 1, arrange: withFileText('reports: [') },
  'layout of an unknown report': { args: ['moves', '--layout', 'f'], code: 1, arrange: withFileText('reports: { move: {} }') },
  'layout with an unknown field': { args: ['moves', '--layout', 'f'], code: 1, arrange: withFileText(LAYOUT('{ title: M, field: idd }')) },
  'layout with a wrong width': { args: ['moves', '--layout', 'f'], code: 1, arrange: withFileText(LAYOUT('{ title: M, field: id, width: 0 }')) },
  'layout with an unknown key': { args: ['moves', '--layout', 'f'], code: 1, arrange: withFileText(LAYOUT('{ title: M, field: id, widht: 3 }')) },
  'platform that answers HTML': { args: ['status'], code: 3, arrange: (cli) => { cli.platform.mode = 'html' } },
  'platform with a damaged head': { args: ['status'], code: 3, arrange: (cli) => cli.platform.set('config/head', '{') },
  'platform with a damaged account': {
    args: ['status'],
    code: 0,
    arrange: (cli) => {
      cli.platform.set('account/otaru', 'x')
      cli.platform.set('account/sapporo', makeAccount('sapporo', { 0: 1 }))
    }
  },
  'daemon that answers HTML': { args: MOVES_OF_DAEMON, code: 3, arrange: withDaemonResponse('<html>Bad gateway</html>', 502) },
  'daemon that answers text': { args: MOVES_OF_DAEMON, code: 3, arrange: withDaemonResponse('ok\n') },
  'daemon without a protocol': { args: MOVES_OF_DAEMON, code: 3, arrange: withDaemonResponse('{"version":3}') },
  'daemon of an unknown protocol': { args: MOVES_OF_DAEMON, code: 1, arrange: withDaemonResponse('{"protocol":2,"fleet":{}}') },
  'daemon that leaves out a field': {
    args: MOVES_OF_DAEMON, code: 3, arrange: withDaemonResponse(JSON.stringify({ protocol: 1, accounts: [], moves: [{ ...MOVE_RECORD, to: undefined }] }))
  }
}

for (const [name, { args, code, arrange }] of Object.entries(CASES)) {
  test(name, async (t) => {
    const cli = new CliHarness()
    arrange?.(cli)
    const result = await cli.run(...args)
    t.is(result.code, code)
    t.snapshot(result)
  })
}

/** Guards against control sequences in a reason that another process wrote: the terminal would execute them. */
test('control characters do not reach the terminal', async (t) => {
  const cli = new CliHarness()
  cli.platform.set('move/ordersV2', { ...MOVE_RECORD, reason: 'a\u001b[2Jb\nc' })
  for (const form of [[], ['--csv']]) {
    // eslint-disable-next-line no-control-regex
    t.notRegex((await cli.run('moves', ...form)).out, /\u001b|b\nc/)
  }
})

test('invalid settings are rejected with their line', (t) => {
  for (const text of ['platfrom: http://a', 'platform: ftp://a', 'layout: 3', '[', 'a: &a [*a]', '- 1', 'layout: x\n\nplatfrom: http://a',
    `a: &a [1,1,1,1,1,1,1,1,1]\nb: &b [${'*a,'.repeat(9)}]\nc: &c [${'*b,'.repeat(9)}]\nd: [${'*c,'.repeat(9)}]`]) {
    const err = t.throws(() => parseCliSettings(text), { any: true }) as unknown as Error
    t.snapshot(err.message, text)
  }
  t.deepEqual(parseCliSettings(undefined), {})
  t.deepEqual(parseCliSettings('# nothing'), {})
})

test('the command prints an error message for any invalid response of a daemon', async (t) => {
  const value = fc.oneof(fc.json(), fc.string(), fc.jsonValue().map((accounts) => JSON.stringify({ protocol: 1, accounts, moves: [] })))
  await fc.assert(fc.asyncProperty(value, fc.constantFrom(200, 404, 500), async (text, status) => {
    const cli = new CliHarness()
    cli.daemon.response = { status, text }
    const { code, err } = await cli.run('status', '--daemon', 'a:1')
    t.true(code === 0 || err.startsWith('lentilwheel: '), err)
    t.false(err.includes('internal'))
  }), { seed: 41, numRuns: 60 })
})
