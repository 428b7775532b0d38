import { parseDuration, touchedKeys } from '@lentilwheel/config'
import type { PlatformClient } from '@lentilwheel/platform'
import { match } from 'ts-pattern'
import { prepareChange, submitChange, type PreparedChange } from '../apply/submitChange.js'
import { deadlineWarnings } from '../apply/deadlineWarnings.js'
import { differenceLines } from '../apply/differences.js'
import { laggingSentences, waitUntilActive, type WaitResult } from '../apply/waitUntilActive.js'
import { rolloutProgress, type RolloutProgress } from '../account/fleetView.js'
import { textOption, versionOption, withPlatform, type CommandContext, type CommonOptions } from '../context.js'
import { Interrupted, NotInForceEverywhere, UsageError } from '../errors.js'
import { EXIT_UNAVAILABLE } from '../exitCodes.js'
import { Reporter } from '../output/reporter.js'
import { pluralise } from '../output/text.js'

const DEFAULT_TIMEOUT = '60s'

export interface ApplyOptions extends CommonOptions {
  base?: unknown
  wait?: boolean
  timeout?: unknown
  changeId?: unknown
}

/** The version to wait for, and the sentence that says how it was accepted. */
interface AcceptedVersion {
  version: number
  sentence: string
}

type Phase = 'preparing' | 'accepting' | 'waiting'

/**
 * Handles Ctrl-C in the phases of `apply`: before the change is sent it cancels the command, while the change is sent
 * the first press only announces the wait for the response and the second one exits, and afterwards it ends the wait.
 */
class InterruptHandler {
  isInterrupted = false
  phase: Phase = 'preparing'
  readonly #ctx: CommandContext
  readonly #changeId: string
  readonly unsubscribe

  constructor (ctx: CommandContext, changeId: string) {
    this.#ctx = ctx
    this.#changeId = changeId
    this.unsubscribe = ctx.onInterrupt(() => this.#onInterrupt())
  }

  #onInterrupt (): void {
    if (this.isInterrupted && this.phase === 'accepting') {
      this.#ctx.screen.printNotice(`interrupted: it is unknown whether change ${this.#changeId} was accepted; see ` +
        '`lentilwheel history`')
      this.#ctx.exit(EXIT_UNAVAILABLE)
    }
    if (!this.isInterrupted && this.phase === 'accepting') {
      this.#ctx.screen.printNotice('interrupted: waiting for the platform to say whether the change is accepted; ' +
        'press Ctrl-C again to end without knowing')
    }
    this.isInterrupted = true
  }

  /** Enters the phase `accepting`, unless Ctrl-C was pressed; nothing has been sent then. */
  beginAccepting (): void {
    if (this.isInterrupted) throw new Interrupted('interrupted: nothing was accepted')
    this.phase = 'accepting'
  }
}

/** Submits a configuration and waits until every daemon has applied it. */
export async function apply (ctx: CommandContext, file: string, opts: ApplyOptions): Promise<void> {
  const reporter = new Reporter(ctx, opts)
  if (reporter.format === 'csv') throw new UsageError('apply has no CSV form')
  const timeoutMs = timeoutOption(opts.timeout)
  const baseVersion = versionOption(opts.base, 'base')
  const changeId = textOption(opts.changeId, 'change-id') ?? ctx.newId()
  const bytes = ctx.readFile(file)
  const interrupts = new InterruptHandler(ctx, changeId)
  try {
    await withPlatform(ctx, opts, async (client) => {
      const prepared = await prepareChange(client, {
        bytes, file, author: ctx.userName(), changeId, now: ctx.timers.wallNow(), baseVersion
      })
      const accepted = await submitPrepared(ctx, reporter, client, prepared, interrupts)
      interrupts.phase = 'waiting'
      const shouldWait = opts.wait !== false && accepted.version > 0
      const result = shouldWait ? await waitWithProgress(ctx, client, accepted.version, timeoutMs, interrupts) : undefined
      reporter.json(applyReport(prepared, accepted.version, result))
      reportOutcome(reporter, accepted, result, interrupts)
    })
  } finally {
    interrupts.unsubscribe()
    ctx.screen.clearProgress()
  }
}

function timeoutOption (value: unknown): number {
  const text = textOption(value, 'timeout') ?? DEFAULT_TIMEOUT
  const ms = parseDuration(text)
  if (ms === undefined) throw new UsageError(`--timeout: "${text}" is not a duration such as 30s or 5m`)
  return ms
}

async function submitPrepared (
  ctx: CommandContext, reporter: Reporter, client: PlatformClient, prepared: PreparedChange, interrupts: InterruptHandler
): Promise<AcceptedVersion> {
  const { base, change, differences, alreadyAcceptedAs } = prepared
  const announce = (version: number, sentence: string): AcceptedVersion => {
    reporter.print(sentence)
    return { version, sentence }
  }
  if (alreadyAcceptedAs !== undefined) {
    return announce(alreadyAcceptedAs, `Change ${change.id} was already accepted as version ${alreadyAcceptedAs}.`)
  }
  if (touchedKeys(change).length === 0) {
    return announce(base.head.version, `Nothing to change: version ${base.head.version} already has this configuration.`)
  }
  for (const line of differenceLines(differences)) reporter.print(line)
  reporter.notices(deadlineWarnings(change, ctx.timers.wallNow()))
  interrupts.beginAccepting()
  const retryHint = `Applying the same file with --change-id ${change.id} is safe: it is accepted at most once`
  const version = await submitChange(client, prepared, ctx.timers, retryHint)
  return announce(version, `Accepted as version ${version} (change ${change.id}).`)
}

async function waitWithProgress (
  ctx: CommandContext, client: PlatformClient, version: number, timeoutMs: number, interrupts: InterruptHandler
): Promise<WaitResult> {
  return await waitUntilActive(client, {
    version,
    timeoutMs,
    timers: ctx.timers,
    isInterrupted: () => interrupts.isInterrupted,
    onProgress: (progress) => ctx.screen.progress(progressText(version, progress))
  })
}

function progressText (version: number, progress: RolloutProgress | undefined): string {
  if (!progress) return `v${version}: platform is not answering`
  if (progress.members === 0) return `v${version}: no daemon has reported yet`
  return `v${version}: on ${progress.holding} of ${pluralise(progress.members, 'daemon')}`
}

function applyReport (prepared: PreparedChange, version: number, result: WaitResult | undefined) {
  const report = { changeId: prepared.change.id, version, differences: prepared.differences }
  if (!result) return report
  const { outcome, accounts } = result
  const lacking = outcome === 'everywhere' ? [] : laggingSentences(accounts, version)
  return { ...report, waited: outcome, ...rolloutProgress(accounts, version), lacking }
}

function reportOutcome (
  reporter: Reporter, { version, sentence }: AcceptedVersion, result: WaitResult | undefined, interrupts: InterruptHandler
): void {
  const outcome = result?.outcome ?? (interrupts.isInterrupted ? 'interrupted' : 'notAwaited')
  match(outcome)
    .with('notAwaited', () => {})
    .with('everywhere', () => {
      const { members } = rolloutProgress(result!.accounts, version)
      reporter.print(`Version ${version} is in force on all ${pluralise(members, 'daemon')}.`, 'green')
    })
    .with('noDaemons', () => {
      reporter.print('No daemon has reported to the platform yet, so nothing is known about what is in force.')
    })
    .with('interrupted', () => {
      throw new Interrupted(`interrupted, but the version comes into force without this command. ${sentence}`)
    })
    .with('timeout', 'refused', () => { throw notInForceError(version, result!) })
    .exhaustive()
}

function notInForceError (version: number, { accounts, isFresh }: WaitResult): NotInForceEverywhere {
  const { holding, members } = rolloutProgress(accounts, version)
  const lacking = laggingSentences(accounts, version).map((sentence) => `\n  ${sentence}`).join('')
  const staleNote = isFresh ? '' : ' at the last answer of the platform, which does not answer now'
  return new NotInForceEverywhere(
    `version ${version} is in force on ${holding} of ${pluralise(members, 'daemon')}${staleNote}${lacking}`)
}
