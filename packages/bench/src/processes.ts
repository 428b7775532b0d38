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

/** A daemon process on this machine and where it listens. */
export interface DaemonProcess {
  id: string
  dataCentre: string
  ports: DaemonPorts
  process: ChildProcess
}

/** Starts daemons and CLI commands as child processes on the loopback interface; `stopAll` ends only those. */
export class ProcessGroup {
  readonly dir = mkdtempSync(join(tmpdir(), 'lentilwheel-'))
  readonly #children = new Set<ChildProcess>()
  /** Daemons that were told to end, or killed; the end of another one is reported. */
  readonly #expected = new WeakSet<ChildProcess>()

  startDaemon (id: string, settings: Record<string, unknown>, ports: DaemonPorts): DaemonProcess {
    const file = join(this.dir, `${id}.yaml`)
    writeFileSync(file, stringify({
      id,
      ...settings,
      proxyPort: ports.proxy,
      adminPort: ports.admin,
      targetPort: ports.target,
      meshPort: ports.mesh
    }))
    // Executed directly, because the shebang line of the program sets the options of Node.
    const child = spawn(DAEMON_PROGRAM, [file], { stdio: ['ignore', 'ignore', 'inherit'] })
    this.#track(child)
    child.once('exit', (code, signal) => { if (!this.#expected.has(child)) process.stderr.write(`daemon ${id} (pid ${child.pid}) ended by itself: code ${code}, signal ${signal}\n`) })
    return { id, dataCentre: String(settings['dataCentre']), ports, process: child }
  }

  /** Runs a `lentilwheel` command and waits for its exit. */
  async runCli (args: string[]): Promise<{ code: number | null, stdout: string, stderr: string }> {
    const child = spawn(process.execPath, [CLI_PROGRAM, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    this.#track(child)
    const output = { stdout: '', stderr: '' }
    child.stdout.on('data', (chunk) => { output.stdout += String(chunk) })
    child.stderr.on('data', (chunk) => { output.stderr += String(chunk) })
    const code = await new Promise<number | null>((resolve) => child.once('close', resolve))
    return { code, ...output }
  }

  /** Sends SIGTERM to all running children and waits until they have exited. */
  async stopAll (): Promise<void> {
    const exits = [...this.#children].map((child) => new Promise((resolve) => child.once('exit', resolve)))
    for (const child of this.#children) this.end(child, 'SIGTERM')
    await Promise.all(exits)
  }

  /** Sends a signal that ends a child. */
  end (child: ChildProcess, signal: 'SIGTERM' | 'SIGKILL'): void {
    this.#expected.add(child)
    child.kill(signal)
  }

  #track (child: ChildProcess): void {
    this.#children.add(child)
    child.once('exit', () => this.#children.delete(child))
  }
}

export async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

/** Polls until the condition holds; rejects after the timeout with an error that contains the description. */
export async function waitFor (description: string, condition: () => Promise<boolean>, timeoutMs: number): Promise<void> {
  const deadline = Date.now() + timeoutMs
  for (;;) {
    if (await condition().catch(() => false)) return
    if (Date.now() > deadline) throw new Error(`timed out waiting for ${description}`)
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
}

/**
 * Ports for daemons lie below the kernel's range of ephemeral ports: an outgoing connection could otherwise take a
 * port before the daemon listens on it.
 */
const FIRST_PORT = 10_000
const LAST_PORT = 32_000

/** Size of a block of ports; the process that claims a block listens on its first port to lock the block. */
const PORT_BLOCK_SIZE = 100
const unusedPorts: number[] = []

/** Finds ports that are free for TCP and UDP and that no other process gets from this function at the same time. */
export async function findFreePorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    if (unusedPorts.length === 0) unusedPorts.push(...await claimPortBlock())
    const port = unusedPorts.pop()!
    if (await isPortFree(port)) ports.push(port)
  }
  return ports
}

/**
 * Claims a random block by listening on its first port, and returns the other ports. Without a lock another fleet
 * could find the same ports free before the daemons of this one listen on them.
 */
async function claimPortBlock (): Promise<number[]> {
  for (;;) {
    const first = FIRST_PORT + PORT_BLOCK_SIZE * randomInt((LAST_PORT - FIRST_PORT) / PORT_BLOCK_SIZE)
    const lock = createServer().unref()
    try {
      await new Promise<void>((resolve, reject) => lock.once('error', reject).listen(first, '127.0.0.1', resolve))
      return Array.from({ length: PORT_BLOCK_SIZE - 1 }, (_, i) => first + 1 + i)
    } catch {
      // Another process has claimed this block.
    }
  }
}

async function isPortFree (port: number): Promise<boolean> {
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
