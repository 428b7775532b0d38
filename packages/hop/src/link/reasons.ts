/**
 * Why an offered request was not run. `busy`: no slot is free. `limited`: the target takes no more requests for now, by the limit
 * that it states. `displacing`: calls that the request would make to other services would take the
 * place of more urgent requests there. `shed`: the target itself rejected it. `expired`: its deadline passed in the queue.
 * `revoked`: the sender cancelled or settled it before. `unsent`: it didn't reach the daemon that it was meant for.
 * `vacant`: answers an `ask` offer, a slot is free. `suspect`: the request may crash targets and is running here already.
 * `quarantined`: it has crashed several targets. `evacuated`: targets of the data centre get no requests now.
 */
export const NOT_RUN_REASONS = [
  'busy', 'limited', 'displacing', 'noTarget', 'otherTarget', 'draining', 'expired', 'shed', 'unreachable', 'revoked', 'stopping', 'unsent', 'vacant', 'suspect', 'quarantined', 'evacuated'
] as const
export type NotRunReason = typeof NOT_RUN_REASONS[number]

/** Reasons for which a target that takes requests can't take one more now. */
export type FullReason = Extract<NotRunReason, 'busy' | 'limited'>

export function isFullReason (reason: NotRunReason | FailureReason): reason is FullReason {
  return reason === 'busy' || reason === 'limited'
}

/**
 * Why a request that may have been run has no usable response. `reset`: the connection to the target broke. `cut`: the
 * target closed it within the response. `garbled`: the response is malformed, or lacks the request's id or the signature.
 * `unbounded`: the target sent more than a response may have. `lost`: the connection to the daemon beside the target broke
 * or its reply can't be read, so the outcome is unknown. `crashed`: the target ended while the request ran there.
 * `targetEnded`: likewise, but the request has run well there before, so something else ended it.
 */
export const FAILURE_REASONS = ['reset', 'cut', 'garbled', 'unbounded', 'timeout', 'lost', 'cancelled', 'crashed', 'targetEnded'] as const
export type FailureReason = typeof FAILURE_REASONS[number]
