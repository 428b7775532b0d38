import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { stringify } from 'yaml'
import { request } from 'undici'

const PROGRAM = fileURLToPath(new URL('../../bin/lentilwheeld.js', import.meta.url))
const KEY = 'secret-key-that-nobody-may-read'
const dir = mkdtempSync(join(tmpdir(), 'lentilwheeld-'))

const blocker = createServer()
test.before(async () => await new Promise<void>((resolve) => blocker.listen(0, '127.0.0.1', resolve)))
test.after.always(() => { blocker.close() })
const takenPort = (): number => (blocker.address() as AddressInfo).port

async function freePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return port
}

async function settingsFile (name: string, changes: Record<string, unknown> = {}): Promise<string> {
  const file = join(dir, `${name}.yaml`)
  const [proxyPort, adminPort, targetPort, meshPort] = await Promise.all([1, 2, 3, 4].map(freePort))
  const ports = { proxyPort, adminPort, targetPort, meshPort }
  writeFileSync(file, stringify({
    id: name, dataCentre: 'dc1', platform: { url: 'http://127.0.0.1:1' }, meshKey: KEY, ...ports, ...changes
  }))
  return file
}

function startProgram (args: string[]): { child: ChildProcess, output: { stdout: string, stderr: string }, code: Promise<number | null> } {
  const child = spawn(process.execPath, [PROGRAM, ...args], { stdio: ['ignore', 'pipe', 'pipe'], cwd: dir })
  const output = { stdout: '', stderr: '' }
  child.stdout.on('data', (chunk) => { output.stdout += String(chunk) })
  child.stderr.on('data', (chunk) => { output.stderr += String(chunk) })
  return { child, output, code: new Promise((resolve) => child.once('close', resolve)) }
}

/** Guards against a daemon that hangs when it can't start, or whose error a supervisor's line-based log doesn't show whole. */
const FAILURES: Record<string, { args: () => Promise<string[]>, code: number, stderr: RegExp }> = {
  'proxy port taken': { args: async () => [await settingsFile('p1', { proxyPort: takenPort() })], code: 1, stderr: /EADDRINUSE/ },
  'admin port taken': { args: async () => [await settingsFile('p2', { adminPort: takenPort() })], code: 1, stderr: /EADDRINUSE/ },
  'target port taken': { args: async () => [await settingsFile('p3', { targetPort: takenPort() })], code: 1, stderr: /EADDRINUSE/ },
  'mesh port taken': { args: async () => [await settingsFile('p4', { meshPort: takenPort() })], code: 1, stderr: /EADDRINUSE/ },
  'broken settings': { args: async () => [await settingsFile('p5', { dataCentre: 3, colour: 'red' })], code: 1, stderr: /colour/ },
  'a key that reads as an alias': {
    args: async () => {
      writeFileSync(join(dir, 'alias.yaml'), `id: d1\nmeshKey: *${KEY}\n`)
      return ['alias.yaml']
    },
    code: 1,
    stderr: /alias/
  },
  'key file missing': {
    args: async () => [await settingsFile('p6', { meshKey: undefined, meshKeyFile: 'nothing' })], code: 1, stderr: /nothing/
  },
  'settings missing': { args: async () => ['nothing.yaml'], code: 1, stderr: /nothing\.yaml/ },
  'unknown option': { args: async () => ['--colour'], code: 2, stderr: /--colour/ },
  'two settings files': { args: async () => ['a.yaml', 'b.yaml'], code: 2, stderr: /b\.yaml/ }
}

for (const [name, { args, code, stderr }] of Object.entries(FAILURES)) {
  test.serial(`${name}: one line on stderr and exit code ${code}`, async (t) => {
    const run = startProgram(await args())
    t.is(await run.code, code)
    t.regex(run.output.stderr, stderr)
    t.regex(run.output.stderr, /^lentilwheeld: [^\n]+\n$/)
    t.false(run.output.stderr.includes(KEY))
  })
}

test.serial('--help shows an example, and --version a version number', async (t) => {
  const help = startProgram(['--help'])
  t.is(await help.code, 0)
  t.regex(help.output.stdout, /Examples:\n.*lentilwheeld --check otaru-4\.yaml/)
  const version = startProgram(['--version'])
  t.is(await version.code, 0)
  t.regex(version.output.stdout, /^lentilwheeld\/\d+\.\d+\.\d+/)
})

/** Guards against a mesh key in output or logs, and against an admin port that is open to other hosts. */
test.serial('no output contains the mesh key, and the admin and target ports are on loopback', async (t) => {
  const file = await settingsFile('secretive', { address: '127.0.0.2' })
  const check = startProgram(['--check', file])
  t.is(await check.code, 0)
  t.regex(check.output.stdout, /adminAddress: 127\.0\.0\.1\n/)
  t.regex(check.output.stdout, /targetAddress: 127\.0\.0\.1\n/)
  const adminPort = /adminPort: (\d+)/.exec(check.output.stdout)![1]!
  const daemon = startProgram([file])
  while (!daemon.output.stdout.includes('not ready')) await new Promise((resolve) => daemon.child.stdout!.once('data', resolve))
  const answers = await Promise.all(['/status', '/status?debug=1', '/status?scope=fleet', '/events', '/counters', '/readyz']
    .map(async (path) => await (await request(`http://127.0.0.1:${adminPort}${path}`)).body.text()))
  const elsewhere = await request(`http://127.0.0.2:${adminPort}/status`).catch((err: NodeJS.ErrnoException) => err.code)
  t.is(elsewhere, 'ECONNREFUSED')
  const body = await request(`http://127.0.0.1:${adminPort}/moves/m/take-back`, { method: 'POST', body: 'x'.repeat(1024 * 1024) })
    .then((res) => res.statusCode, (err: NodeJS.ErrnoException) => err.code)
  t.true([413, 'ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET'].includes(body as number))
  daemon.child.kill('SIGTERM')
  t.is(await daemon.code, 0)
  for (const text of [check.output.stdout, ...answers, daemon.output.stdout, daemon.output.stderr]) t.false(text.includes(KEY))
})
