import type { Cancel, Timers } from '@lentilwheel/core'
import type { PlatformClient } from '@lentilwheel/platform'
import type { DaemonAdmin } from './account/nodeDaemonClient.js'
import { UsageError } from './errors.js'
import type { Layout } from './output/layout.js'
import type { Screen } from './output/screen.js'
import { platformAddress, type CliSettings } from './settings.js'

export type ClosablePlatform = PlatformClient & { close (): Promise<void> }

/** What a command needs from its process; tests hand in their own. */
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
  openPlatform (url: string): ClosablePlatform
  openDaemon (address: string): DaemonAdmin
  /** Calls back on each Ctrl-C until cancelled; without a subscriber Ctrl-C ends the process. */
  onInterrupt (fn: () => void): Cancel
  /** Ends the process at once, for a second Ctrl-C. */
  exit (code: number): void
}

/** Options that several commands share, as cac yields them. */
export interface CommonOptions {
  platform?: unknown
  daemon?: unknown
  layout?: unknown
  json?: boolean
  csv?: boolean
}

/** The one text value of an option; undefined when it is not given. */
export function textOption (value: unknown, name: string): string | undefined {
  if (value === undefined) return undefined
  if (Array.isArray(value)) throw new UsageError(`--${name} is given more than once`)
  const text = String(value)
  if (text === '' || typeof value === 'boolean') throw new UsageError(`--${name} needs a value`)
  return text
}

/** A configuration version given as an option. */
export function versionOption (value: unknown, name: string): number | undefined {
  const text = textOption(value, name)
  if (text === undefined) return undefined
  if (!/^\d{1,15}$/.test(text)) throw new UsageError(`--${name}: "${text}" is not a version number`)
  return Number(text)
}

export async function withPlatform<T> (
  ctx: CommandContext, opts: CommonOptions, run: (client: PlatformClient) => Promise<T>
): Promise<T> {
  const client = ctx.openPlatform(platformAddress(textOption(opts.platform, 'platform'), ctx.env, ctx.settings))
  try {
    return await run(client)
  } finally {
    await client.close()
  }
}

/** The daemon named by --daemon, if any. */
export function daemonOf (ctx: CommandContext, opts: CommonOptions): DaemonAdmin | undefined {
  const address = textOption(opts.daemon, 'daemon')
  return address === undefined ? undefined : ctx.openDaemon(address)
}
