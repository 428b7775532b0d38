import { randomUUID } from 'node:crypto'
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { userInfo } from 'node:os'
import { NodeTimers, NoopMetrics, SeededRandom, type Cancel } from '@lentilwheel/core'
import { HttpPlatformClient } from '@lentilwheel/platform'
import { HttpDaemonAdminClient } from './account/nodeDaemonAdminClient.js'
import type { CommandContext } from './context.js'
import { FileFailed } from './errors.js'
import { parseLayout } from './output/layout.js'
import { Screen } from './output/screen.js'
import { parseCliSettings, SETTINGS_FILE } from './settings.js'

const DEFAULT_LAYOUT = new URL('../layouts/default.yaml', import.meta.url)
/** Least width; narrower output would break almost every word. */
const MIN_COLUMNS = 20
const STDIN = 0

/** Creates the context of the running process. */
export function nodeContext (screen: Screen): CommandContext {
  const timers = new NodeTimers(new SeededRandom(1))
  return {
    screen,
    timers,
    env: process.env,
    settings: parseCliSettings(existsSync(SETTINGS_FILE) ? new TextDecoder().decode(readFile(SETTINGS_FILE)) : undefined),
    defaultLayout: parseLayout(readFileSync(DEFAULT_LAYOUT, 'utf8'), 'default layout'),
    readFile,
    writeFile,
    newId: () => randomUUID(),
    userName,
    openPlatformClient: (url) => new HttpPlatformClient({ url, timers, metrics: new NoopMetrics() }),
    openDaemonClient: (address) => new HttpDaemonAdminClient(address),
    onInterrupt,
    exit: (code) => process.exit(code)
  }
}

/** Width of the terminal, or the variable COLUMNS, or unlimited. */
function terminalColumns (): number {
  const columns = process.stdout.columns ?? Number(process.env['COLUMNS'] ?? Infinity)
  return Number.isNaN(columns) || columns <= 0 ? Infinity : Math.max(MIN_COLUMNS, columns)
}

/** Creates the screen of the running process, on its terminal or pipes. */
export function nodeScreen (): Screen {
  const { stdout, stderr } = process
  return new Screen({
    out: (text) => stdout.write(text),
    err: (text) => stderr.write(text),
    columns: terminalColumns(),
    errIsTerminal: stderr.isTTY === true,
    colours: stdout.isTTY === true && (process.env['NO_COLOR'] ?? '') === '' && process.env['TERM'] !== 'dumb'
  })
}

function readFile (path: string): Uint8Array {
  try {
    return readFileSync(path === '-' ? STDIN : path)
  } catch (err) {
    throw new FileFailed(`cannot read ${path}: ${reasonOf(err)}`, err)
  }
}

function writeFile (path: string, text: string): void {
  try {
    writeFileSync(path, text)
  } catch (err) {
    throw new FileFailed(`cannot write ${path}: ${reasonOf(err)}`, err)
  }
}

const ERROR_REASONS: Readonly<Record<string, string>> = {
  ENOENT: 'there is no such file or directory',
  EACCES: 'permission denied',
  EISDIR: 'it is a directory'
}

function reasonOf (err: unknown): string {
  const { code, message } = err as NodeJS.ErrnoException
  return ERROR_REASONS[code ?? ''] ?? message
}

/** Author recorded with a change; the user id on hosts without an entry for the user. */
function userName (): string {
  try {
    return userInfo().username
  } catch {
    return `uid ${process.getuid?.() ?? 'unknown'}`
  }
}

function onInterrupt (fn: () => void): Cancel {
  process.on('SIGINT', fn)
  return () => process.off('SIGINT', fn)
}
