import type { Timers } from '@lentilwheel/core'
import { isPlatformUnavailable, type PlatformClient } from '@lentilwheel/platform'
import { readAccounts } from '../account/readPlatformView.js'
import type { Account } from '../account/schema.js'
import { countUnnamedLagging, isActiveEverywhere, laggingDaemons, rolloutProgress, type RolloutProgress } from '../account/fleetView.js'
import { pluralise } from '../output/text.js'
import { sleep } from '../sleep.js'

const POLL_INTERVAL_MS = 1_000
/** Relays write their account at most every 2 s; if there is none after this time, no relay is running yet. */
const NO_ACCOUNT_GRACE_MS = 5_000

export type WaitOutcome = 'everywhere' | 'noDaemons' | 'timeout' | 'interrupted' | 'refused'

export interface WaitResult {
  outcome: WaitOutcome
  accounts: Account[]
  /** False if the last read failed, so that `accounts` are older. */
  isFresh: boolean
}

export interface WaitOptions {
  version: number
  timeoutMs: number
  timers: Timers
  isInterrupted: () => boolean
  onProgress (progress: RolloutProgress | undefined): void
}

/**
 * Polls the accounts that relays write to the platform until a version is active on every daemon, a daemon refuses it,
 * the operator interrupts or the timeout expires.
 */
export async function waitUntilActive (client: PlatformClient, opts: WaitOptions): Promise<WaitResult> {
  const startedAt = opts.timers.now()
  let accounts: Account[] = []
  for (;;) {
    const read = await tryReadAccounts(client)
    accounts = read ?? accounts
    const outcome = waitOutcome(accounts, opts, opts.timers.now() - startedAt)
    if (outcome) return { outcome, accounts, isFresh: read !== undefined }
    opts.onProgress(read && rolloutProgress(accounts, opts.version))
    await sleep(opts.timers, POLL_INTERVAL_MS)
  }
}

/** A platform outage does not end the wait: the version is accepted, and daemons distribute it without the platform. */
async function tryReadAccounts (client: PlatformClient): Promise<Account[] | undefined> {
  try {
    return await readAccounts(client)
  } catch (err) {
    if (isPlatformUnavailable(err)) return undefined
    throw err
  }
}

/** How the wait ends, or undefined while it goes on. */
export function waitOutcome (
  accounts: readonly Account[], opts: Pick<WaitOptions, 'version' | 'timeoutMs' | 'isInterrupted'>, elapsedMs: number
): WaitOutcome | undefined {
  if (isActiveEverywhere(rolloutProgress(accounts, opts.version))) return 'everywhere'
  if (accounts.some((account) => account.refusals.some((refusal) => refusal.version === opts.version))) return 'refused'
  if (opts.isInterrupted()) return 'interrupted'
  if (elapsedMs >= opts.timeoutMs) return 'timeout'
  if (accounts.length === 0 && elapsedMs >= NO_ACCOUNT_GRACE_MS) return 'noDaemons'
  return undefined
}

/** Sentences that name the daemons that refuse a version or do not have it yet, each with the reason. */
export function laggingSentences (accounts: readonly Account[], version: number): string[] {
  const named = laggingDaemons(accounts, version).map((daemon) =>
    `${daemon.daemon} in ${daemon.dataCentre} holds version ${daemon.version}: ${daemon.reason}`)
  const unnamed = countUnnamedLagging(accounts, version).map(({ dataCentre, count }) =>
    `${pluralise(count, 'further daemon')} in ${dataCentre}, which its account does not name`)
  const refused = accounts.flatMap((account) => account.refusals)
    .filter((refusal) => refusal.version === version)
    .map((refusal) => `refused by ${refusal.daemons.join(', ')}: ${refusal.reason}`)
  return [...new Set([...refused, ...named, ...unnamed])]
}
