import { parseDuration, touchedKeys } from '@lentilwheel/config'
import type { PlatformClient } from '@lentilwheel/platform'
import { match } from 'ts-pattern'
import { acceptOrSettle, prepareChange, type PreparedChange } from '../apply/apply.js'
import { deadlineWarnings } from '../apply/deadlines.js'
import { differenceLines } from '../apply/difference.js'
import { lackingSentences, waitInForce, type WaitResult } from '../apply/waiting.js'
import { reachOf, type Reach } from '../account/view.js'
import { textOption, versionOption, withPlatform, type CommandContext, type CommonOptions } from '../context.js'
import { Interrupted, NotInForceEverywhere, UsageError } from '../errors.js'
import { EXIT_PLATFORM_AWAY } from '../exitCodes.js'
import { Reporter } from '../output/reporter.js'
import { counted } from '../output/text.js'

const DEFAULT_TIMEOUT = '60s'

export interface ApplyOptions extends CommonOptions {
  base?: unknown
  wait?: boolean
  timeout?: unknown
  changeId?: unknown
}

/** The version to wait for, and how it came about. */
interface Accepted {
  version: number
  sentence: string
}

type Phase = 'preparing' | 'accepting' | 'waiting'

/** Follows Ctrl-C through the phases of an apply, because in each it means something else. */
class InterruptGuard {
  interrupted = false
  phase: Phase = 'preparing'
  readonly #ctx: CommandContext
  readonly #changeId: string
  readonly stop

  constructor (ctx: CommandContext, changeId: string) {
    this.#ctx = ctx
    this.#changeId = changeId
    this.stop = ctx.onInterrupt(() => this.#interrupt())
  }

  #interrupt (): void {
    if (this.interrupted && this.phase === 'accepting') {
      this.#ctx.screen.note(`interrupted: it is unknown whether change ${this.#changeId} was accepted; see ` +
        '`lentilwheel history`')
      this.#ctx.exit(EXIT_PLATFORM_AWAY)
    }
    if (!this.interrupted && this.phase === 'accepting') {
      this.#ctx.screen.note('interrupted: waiting for the platform to say whether the change is accepted; ' +
        'press Ctrl-C again to end without knowing')
    }
    this.interrupted = true
  }

  /** Nothing has been sent yet, so the answer is certain. */
  checkBeforeSending (): void {
    if (this.interrupted) throw new Interrupted('interrupted: nothing was accepted')
    this.phase = 'accepting'
  }
}

/** Has a configuration accepted and waits until it is in force everywhere. */
export async function apply (ctx: CommandContext, file: string, opts: ApplyOptions): Promise<void> {
  const reporter = new Reporter(ctx, opts)
  if (reporter.form === 'csv') throw new UsageError('apply has no CSV form')
  const timeoutMs = timeoutOption(opts.timeout)
  const baseVersion = versionOption(opts.base, 'base')
  const changeId = textOption(opts.changeId, 'change-id') ?? ctx.newId()
  const bytes = ctx.readFile(file)
  const guard = new InterruptGuard(ctx, changeId)
  try {
    await withPlatform(ctx, opts, async (client) => {
      const prepared = await prepareChange(client, {
        bytes, file, author: ctx.userName(), changeId, now: ctx.timers.wallNow(), baseVersion
      })
      const accepted = await acceptPrepared(ctx, reporter, client, prepared, guard)
      guard.phase = 'waiting'
      const isAwaited = opts.wait !== false && accepted.version > 0
      const result = isAwaited ? await waitOrStop(ctx, client, accepted.version, timeoutMs, guard) : undefined
      reporter.json(applyReport(prepared, accepted.version, result))
      concludeApply(reporter, accepted, result, guard)
    })
  } finally {
    guard.stop()
    ctx.screen.clearProgress()
  }
}

function timeoutOption (value: unknown): number {
  const text = textOption(value, 'timeout') ?? DEFAULT_TIMEOUT
  const ms = parseDuration(text)
  if (ms === undefined) throw new UsageError(`--timeout: "${text}" is not a duration such as 30s or 5m`)
  return ms
}

async function acceptPrepared (
  ctx: CommandContext, reporter: Reporter, client: PlatformClient, prepared: PreparedChange, guard: InterruptGuard
): Promise<Accepted> {
  const { base, change, differences, acceptedBefore } = prepared
  const conclude = (version: number, sentence: string): Accepted => {
    reporter.say(sentence)
    return { version, sentence }
  }
  if (acceptedBefore !== undefined) {
    return conclude(acceptedBefore, `Change ${change.id} was already accepted as version ${acceptedBefore}.`)
  }
  if (touchedKeys(change).length === 0) {
    return conclude(base.head.version, `Nothing to change: version ${base.head.version} already has this configuration.`)
  }
  for (const line of differenceLines(differences)) reporter.say(line)
  reporter.notices(deadlineWarnings(change, ctx.timers.wallNow()))
  guard.checkBeforeSending()
  const howToRepeat = `Applying the same file with --change-id ${change.id} is safe: it is accepted at most once`
  const version = await acceptOrSettle(client, prepared, ctx.timers, howToRepeat)
  return conclude(version, `Accepted as version ${version} (change ${change.id}).`)
}

async function waitOrStop (
  ctx: CommandContext, client: PlatformClient, version: number, timeoutMs: number, guard: InterruptGuard
): Promise<WaitResult> {
  return await waitInForce(client, {
    version,
    timeoutMs,
    timers: ctx.timers,
    interrupted: () => guard.interrupted,
    onProgress: (reach) => ctx.screen.progress(progressText(version, reach))
  })
}

function progressText (version: number, reach: Reach | undefined): string {
  if (!reach) return `v${version}: platform is not answering`
  if (reach.members === 0) return `v${version}: no daemon has reported yet`
  return `v${version}: on ${reach.holding} of ${counted(reach.members, 'daemon')}`
}

function applyReport (prepared: PreparedChange, version: number, result: WaitResult | undefined) {
  const report = { changeId: prepared.change.id, version, differences: prepared.differences }
  if (!result) return report
  const { end, accounts } = result
  const lacking = end === 'everywhere' ? [] : lackingSentences(accounts, version)
  return { ...report, waited: end, ...reachOf(accounts, version), lacking }
}

function concludeApply (
  reporter: Reporter, { version, sentence }: Accepted, result: WaitResult | undefined, guard: InterruptGuard
): void {
  const end = result?.end ?? (guard.interrupted ? 'interrupted' : 'notAwaited')
  match(end)
    .with('notAwaited', () => {})
    .with('everywhere', () => {
      const { members } = reachOf(result!.accounts, version)
      reporter.say(`Version ${version} is in force on all ${counted(members, 'daemon')}.`, 'green')
    })
    .with('noDaemons', () => {
      reporter.say('No daemon has reported to the platform yet, so nothing is known about what is in force.')
    })
    .with('interrupted', () => {
      throw new Interrupted(`interrupted, but the version comes into force without this command. ${sentence}`)
    })
    .with('timeout', 'refused', () => { throw notEverywhere(version, result!) })
    .exhaustive()
}

function notEverywhere (version: number, { accounts, isFresh }: WaitResult): NotInForceEverywhere {
  const { holding, members } = reachOf(accounts, version)
  const lacking = lackingSentences(accounts, version).map((sentence) => `\n  ${sentence}`).join('')
  const stale = isFresh ? '' : ' at the last answer of the platform, which does not answer now'
  return new NotInForceEverywhere(
    `version ${version} is in force on ${holding} of ${counted(members, 'daemon')}${stale}${lacking}`)
}
