import type { Timers } from '@lentilwheel/core'
import type { FailureReason, NotRunReason } from '../link/reasons.js'
import type { HeaderNames } from '../headers.js'
import type { TargetRecord } from '../fleet/hostRecord.js'
import type { CallMessage } from '../link/messages.js'
import type { CallLog } from '../observe/callLog.js'
import type { Quarantine } from '../quarantine/quarantine.js'
import { requestFingerprint } from '../quarantine/requestFingerprint.js'
import { CrashDetector, type ConnectOutcome } from './crashDetector.js'
import { ProvenRequests } from './provenRequests.js'

/** A call as far as the guard needs it. */
export interface GuardedCall {
  readonly message: CallMessage
  readonly startedAt: number
}

/** Why a request that ran on a target that crashed has no response. */
export type CrashReason = Extract<FailureReason, 'crashed' | 'targetEnded'>

export interface CrashGuardOptions {
  timers: Pick<Timers, 'now'>
  log: CallLog
  names: Pick<HeaderNames, 'callerService'>
  quarantine: Pick<Quarantine, 'isEmpty' | 'standing' | 'crashes' | 'refusedMs' | 'reportCrash' | 'clear'>
  /** Opens a connection to the target and tells how that went. */
  tryConnect (done: (outcome: ConnectOutcome) => void): void
  /** Calls that run on the target now. */
  running (): GuardedCall[]
  /** Called when the target has crashed; `isPlanned`: it had said before that it leaves. */
  onCrash (isPlanned: boolean): void
}

/** Time before the end of a hold from which a request is accepted: senders heard of the crash at another moment. */
const HOLD_TOLERANCE_MS = 20
/** Requests named in the log line of a crash. */
const MAX_LOGGED_RUNS = 32

/**
 * Protects the target beside this daemon from requests that crash targets: it notices a crash, reports the requests that may have
 * caused it, and refuses those that are known to do so.
 */
export class CrashGuard {
  readonly #opts: CrashGuardOptions
  readonly #detector: CrashDetector<GuardedCall>
  readonly #proven = new ProvenRequests()
  readonly #fingerprints = new WeakMap<CallMessage, string>()
  #target: TargetRecord | undefined
  /** Whether the target has said that it leaves, or has not announced itself for long. */
  #isLeaving = false
  /** Whether the target has run a request since its start. */
  #hasServed = false

  constructor (opts: CrashGuardOptions) {
    this.#opts = opts
    this.#detector = new CrashDetector({
      timers: opts.timers, tryConnect: opts.tryConnect, running: opts.running, onCrash: (calls) => this.#onCrash(calls)
    })
  }

  /** Whether it is being found out if the target is gone. */
  get isChecking (): boolean {
    return this.#detector.isChecking
  }

  /** Calls whose connection was lost and of which it isn't known yet whether the target has crashed. */
  get unsettled (): number {
    return this.#detector.unsettled
  }

  /** Called when the target has been replaced or started again. */
  onNewStart (target: TargetRecord): void {
    this.#detector.onNewStart(this.#isLeaving)
    if (target.service !== this.#target?.service || target.version !== this.#target.version) this.#proven.reset()
    this.#target = target
    this.#isLeaving = false
    this.#hasServed = false
  }

  /** Called when the target has said that it leaves, or has not announced itself for long. */
  onLeaving (): void {
    this.#isLeaving = true
  }

  /** Why a call that may crash the target isn't run, given the calls that are queued or run here; undefined when it may run. */
  refusalReason (message: CallMessage, calls: Iterable<GuardedCall>): NotRunReason | undefined {
    const { quarantine } = this.#opts
    if (message.mode === 'ask' || (quarantine.isEmpty && !message.suspect)) return undefined
    const fingerprint = this.fingerprintOf(message)
    const standing = quarantine.standing(fingerprint)
    if (standing === 'blocked') return 'quarantined'
    if (this.#isHeld(fingerprint)) return 'suspect'
    if (standing === 'clear' && !message.suspect) return undefined
    for (const call of calls) if (this.#areAmbiguous(fingerprint, this.fingerprintOf(call.message))) return 'suspect'
    return undefined
  }

  /** Whether a call has been held or blocked since it was admitted. */
  isRefused (message: CallMessage): boolean {
    const { quarantine } = this.#opts
    if (quarantine.isEmpty) return false
    const fingerprint = this.fingerprintOf(message)
    return quarantine.standing(fingerprint) === 'blocked' || this.#isHeld(fingerprint)
  }

  fingerprintOf (message: CallMessage): string {
    let fingerprint = this.#fingerprints.get(message)
    if (fingerprint === undefined) {
      fingerprint = requestFingerprint(message, this.#opts.names)
      this.#fingerprints.set(message, fingerprint)
    }
    return fingerprint
  }

  /** Called when the target has run a call and is still there. */
  onSurvival ({ message }: GuardedCall): void {
    const fingerprint = this.fingerprintOf(message)
    this.#hasServed = true
    this.#proven.add(fingerprint)
    if (!this.#opts.quarantine.isEmpty) this.#opts.quarantine.clear(fingerprint)
  }

  /** Called for a call that was cancelled here, which the target may not have noticed yet. */
  onCancel (call: GuardedCall): void {
    this.#detector.onCancel(call)
  }

  /** Called for a call whose connection was lost; `settle` is called once it is known whether the target has crashed, with undefined if not. */
  onLoss (call: GuardedCall, settle: (reason: CrashReason | undefined) => void): void {
    const reason = this.#proven.has(this.fingerprintOf(call.message)) ? 'targetEnded' : 'crashed'
    this.#detector.onLoss(call, (hasCrashed) => settle(hasCrashed ? reason : undefined))
  }

  /**
   * Whether a crash under two requests would not tell which of them caused it, or whether they are the same. One crash is no more
   * than a suspicion, so only those with two or more are kept apart.
   */
  #areAmbiguous (a: string, b: string): boolean {
    const { quarantine } = this.#opts
    return a === b || (quarantine.crashes(a) > 1 && quarantine.crashes(b) > 1)
  }

  #isHeld (fingerprint: string): boolean {
    return this.#opts.quarantine.refusedMs(fingerprint) > HOLD_TOLERANCE_MS
  }

  #onCrash (calls: readonly GuardedCall[]): void {
    const { log, quarantine, onCrash } = this.#opts
    onCrash(this.#isLeaving)
    if (this.#isLeaving) return
    const byStart = [...calls].sort((a, b) => a.startedAt - b.startedAt)
    const suspects = byStart.map(({ message }) => this.fingerprintOf(message)).filter((fingerprint) => this.#isSuspect(fingerprint))
    log.decision('targetCrashed', { target: this.#target?.id, service: this.#target?.service, suspects: suspects.length, running: this.#describe(byStart) })
    const retried = byStart.filter(({ message }) => message.repeat).map(({ message }) => this.fingerprintOf(message))
    if (this.#target) quarantine.reportCrash(this.#target.service, suspects, retried)
  }

  #describe (calls: readonly GuardedCall[]): object[] {
    const now = this.#opts.timers.now()
    return calls.slice(-MAX_LOGGED_RUNS).map(({ message, startedAt }) => ({
      id: message.requestId, route: message.route, request: this.fingerprintOf(message), ms: Math.round(now - startedAt)
    }))
  }

  /**
   * Whether a request that ran at a crash is suspected of it. A target that has run nothing since its start may crash by
   * itself, which only counts against requests that are suspects already.
   */
  #isSuspect (fingerprint: string): boolean {
    if (this.#proven.has(fingerprint)) return false
    return this.#hasServed || this.#opts.quarantine.standing(fingerprint) !== 'clear'
  }
}
