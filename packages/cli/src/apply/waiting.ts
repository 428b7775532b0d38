import type { Timers } from '@lentilwheel/core'
import { isAway, type PlatformClient } from '@lentilwheel/platform'
import { readAccounts } from '../account/platformSource.js'
import type { Account } from '../account/schema.js'
import { isEverywhere, laggingBehind, reachOf, unnamedLagging, type Reach } from '../account/view.js'
import { counted } from '../output/text.js'
import { sleep } from '../utils.js'

const POLL_MS = 1_000
/** Relays write accounts at most every 2 s; a fleet that has none after this time has no relay yet. */
const NO_ACCOUNT_GRACE_MS = 5_000

export type WaitEnd = 'everywhere' | 'noDaemons' | 'timeout' | 'interrupted' | 'refused'

export interface WaitResult {
  end: WaitEnd
  accounts: Account[]
  /** False when the platform did not answer the last read. */
  isFresh: boolean
}

export interface WaitOptions {
  version: number
  timeoutMs: number
  timers: Timers
  interrupted: () => boolean
  onProgress (reach: Reach | undefined): void
}

/** Reads the accounts until a version is in force everywhere, refused, or the time is over. */
export async function waitInForce (client: PlatformClient, opts: WaitOptions): Promise<WaitResult> {
  const startedAt = opts.timers.now()
  let accounts: Account[] = []
  for (;;) {
    const read = await tryReadAccounts(client)
    accounts = read ?? accounts
    const end = waitEnd(accounts, opts, opts.timers.now() - startedAt)
    if (end) return { end, accounts, isFresh: read !== undefined }
    opts.onProgress(read && reachOf(accounts, opts.version))
    await sleep(opts.timers, POLL_MS)
  }
}

/** An outage does not end the wait: the version is accepted and daemons spread it without the platform. */
async function tryReadAccounts (client: PlatformClient): Promise<Account[] | undefined> {
  try {
    return await readAccounts(client)
  } catch (err) {
    if (isAway(err)) return undefined
    throw err
  }
}

export function waitEnd (
  accounts: readonly Account[], opts: Pick<WaitOptions, 'version' | 'timeoutMs' | 'interrupted'>, elapsedMs: number
): WaitEnd | undefined {
  if (isEverywhere(reachOf(accounts, opts.version))) return 'everywhere'
  if (accounts.some((account) => account.refusals.some((refusal) => refusal.version === opts.version))) return 'refused'
  if (opts.interrupted()) return 'interrupted'
  if (elapsedMs >= opts.timeoutMs) return 'timeout'
  if (accounts.length === 0 && elapsedMs >= NO_ACCOUNT_GRACE_MS) return 'noDaemons'
  return undefined
}

/** Sentences that name the daemons that lack a version, and why. */
export function lackingSentences (accounts: readonly Account[], version: number): string[] {
  const named = laggingBehind(accounts, version).map((daemon) =>
    `${daemon.daemon} in ${daemon.dataCentre} holds version ${daemon.version}: ${daemon.reason}`)
  const unnamed = unnamedLagging(accounts, version).map(({ dataCentre, count }) =>
    `${counted(count, 'further daemon')} in ${dataCentre}, which its account does not name`)
  const refused = accounts.flatMap((account) => account.refusals)
    .filter((refusal) => refusal.version === version)
    .map((refusal) => `refused by ${counted(refusal.daemons, 'daemon')}: ${refusal.reason}`)
  return [...new Set([...refused, ...named, ...unnamed])]
}
