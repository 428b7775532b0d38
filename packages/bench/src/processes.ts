import { spawn, type ChildProcess } from 'node:child_process'
import { randomInt } from 'node:crypto'
import { createSocket } from 'node:dgram'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { stringify } from 'yaml'

const packagesDir = fileURLToPath(new URL('../../', import.meta.url))
const DAEMON_PROGRAM = join(packagesDir, 'daemon/bin/lentilwheeld.js')
const CLI_PROGRAM = join(packagesDir, 'cli/bin/lentilwheel.js')

/** Ports that one started daemon listens on. */
export interface DaemonPorts {
  proxy: number
  admin: number
  target: number
  mesh: number
}

export interface StartedDaemon {
  id: string
  dataCentre: string
  ports: DaemonPorts
  process: ChildProcess
}

/** Starts processes of the two programs on loopback and ends exactly those. */
export class ProcessGroup {
  readonly dir = mkdtempSync(join(tmpdir(), 'lentilwheel-'))
  readonly #children = new Set<ChildProcess>()

  startDaemon (id: string, settings: Record<string, unknown>, ports: DaemonPorts): StartedDaemon {
    const file = join(this.dir, `${id}.yaml`)
    writeFileSync(file, stringify({
      id,
      ...settings,
      proxyPort: ports.proxy,
      adminPort: ports.admin,
      targetPort: ports.target,
      meshPort: ports.mesh
    }))
    // Started by its first line, which sets options of node.
    const child = spawn(DAEMON_PROGRAM, [file], { stdio: ['ignore', 'ignore', 'inherit'] })
    this.#track(child)
    return { id, dataCentre: String(settings['dataCentre']), ports, process: child }
  }

  /** Runs `lentilwheel` to its end. */
  async runCli (args: string[]): Promise<{ code: number | null, stdout: string, stderr: string }> {
    const child = spawn(process.execPath, [CLI_PROGRAM, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    this.#track(child)
    const output = { stdout: '', stderr: '' }
    child.stdout.on('data', (chunk) => { output.stdout += String(chunk) })
    child.stderr.on('data', (chunk) => { output.stderr += String(chunk) })
    const code = await new Promise<number | null>((resolve) => child.once('close', resolve))
    return { code, ...output }
  }

  async stopAll (): Promise<void> {
    const exits = [...this.#children].map((child) => new Promise((resolve) => child.once('exit', resolve)))
    for (const child of this.#children) child.kill('SIGTERM')
    await Promise.all(exits)
  }

  #track (child: ChildProcess): void {
    this.#children.add(child)
    child.once('exit', () => this.#children.delete(child))
  }
}

export async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

/** Polls until the check holds; rejects at the time limit with what was awaited. */
export async function waitFor (what: string, check: () => Promise<boolean>, limitMs: number): Promise<void> {
  const until = Date.now() + limitMs
  for (;;) {
    if (await check().catch(() => false)) return
    if (Date.now() > until) throw new Error(`timed out waiting for ${what}`)
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
}

/** Below the range from which the kernel takes ports of outgoing connections, which would race with a daemon's start. */
const FIRST_PORT = 10_000
const LAST_PORT = 32_000

/** Ports of a block; its first one is kept open by the process that claimed the block. */
const BLOCK_SIZE = 100
const unused: number[] = []

/** Finds ports that are free for TCP and UDP; no other process that uses this function is given the same ones. */
export async function freePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    if (unused.length === 0) unused.push(...await claimBlock())
    const port = unused.pop()!
    if (await isFree(port)) ports.push(port)
  }
  return ports
}

/** Ports that were only found free could be taken by another fleet before the daemons listen on them. */
async function claimBlock (): Promise<number[]> {
  for (;;) {
    const first = FIRST_PORT + BLOCK_SIZE * randomInt((LAST_PORT - FIRST_PORT) / BLOCK_SIZE)
    const claim = createServer().unref()
    try {
      await new Promise<void>((resolve, reject) => claim.once('error', reject).listen(first, '127.0.0.1', resolve))
      return Array.from({ length: BLOCK_SIZE - 1 }, (_, i) => first + 1 + i)
    } catch {
      // Another process has this block.
    }
  }
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  const socket = createSocket('udp4')
  try {
    await new Promise<void>((resolve, reject) => server.once('error', reject).listen(port, '127.0.0.1', resolve))
    await new Promise<void>((resolve, reject) => socket.once('error', reject).bind(port, '127.0.0.1', resolve))
    return true
  } catch {
    return false
  } finally {
    if (server.listening) await new Promise((resolve) => server.close(resolve))
    socket.close()
  }
}
