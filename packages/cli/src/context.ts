import type { Cancel, Timers } from '@lentilwheel/core'
import type { PlatformClient } from '@lentilwheel/platform'
import type { DaemonAdminClient } from './account/nodeDaemonAdminClient.js'
import { UsageError } from './errors.js'
import type { Layout } from './output/layout.js'
import type { Screen } from './output/screen.js'
import { platformAddress, type CliSettings } from './settings.js'

export type ClosablePlatformClient = PlatformClient & { close (): Promise<void> }

/** Everything that a command uses of its process and its environment; tests pass fakes. */
export interface CommandContext {
  screen: Screen
  timers: Timers
  env: Readonly<Record<string, string | undefined>>
  settings: CliSettings
  defaultLayout: Layout
  /** Reads a file, or standard input for `-`; throws FileFailed. */
  readFile (path: string): Uint8Array
  writeFile (path: string, text: string): void
  newId (): string
  userName (): string
  openPlatformClient (url: string): ClosablePlatformClient
  openDaemonClient (address: string): DaemonAdminClient
  /** Calls `fn` on each Ctrl-C until cancelled; without a subscriber Ctrl-C ends the process. */
  onInterrupt (fn: () => void): Cancel
  /** Ends the process at once, for a second Ctrl-C. */
  exit (code: number): void
}

/** Options of every command, as cac parses them. */
export interface CommonOptions {
  platform?: unknown
  daemon?: unknown
  layout?: unknown
  json?: boolean
  csv?: boolean
}

/** Value of an option that may be given once; undefined if it is not given. */
export function textOption (value: unknown, name: string): string | undefined {
  if (value === undefined) return undefined
  if (Array.isArray(value)) throw new UsageError(`--${name} is given more than once`)
  const text = String(value)
  if (text === '' || typeof value === 'boolean') throw new UsageError(`--${name} needs a value`)
  return text
}

/** Value of an option that is a configuration version. */
export function versionOption (value: unknown, name: string): number | undefined {
  const text = textOption(value, name)
  if (text === undefined) return undefined
  if (!/^\d{1,15}$/.test(text)) throw new UsageError(`--${name}: "${text}" is not a version number`)
  return Number(text)
}

/** Runs a function with a client of the platform, and closes the client afterwards. */
export async function withPlatform<T> (
  ctx: CommandContext, opts: CommonOptions, run: (client: PlatformClient) => Promise<T>
): Promise<T> {
  const client = ctx.openPlatformClient(platformAddress(textOption(opts.platform, 'platform'), ctx.env, ctx.settings))
  try {
    return await run(client)
  } finally {
    await client.close()
  }
}

/** Client of the daemon given by --daemon; undefined without the option. */
export function daemonFromOptions (ctx: CommandContext, opts: CommonOptions): DaemonAdminClient | undefined {
  const address = textOption(opts.daemon, 'daemon')
  return address === undefined ? undefined : ctx.openDaemonClient(address)
}
