import { LentilwheelError } from '@lentilwheel/core'

/** No request reached the platform. */
export class PlatformUnreachable extends LentilwheelError {
  readonly code = 'platform-unreachable'
}

/** The object's revision is not the one the write was conditional on. */
export class PlatformConflict extends LentilwheelError {
  readonly code = 'platform-conflict'
}

/** The answer to a write was lost: it may or may not have taken effect. */
export class PlatformOutcomeUnknown extends LentilwheelError {
  readonly code = 'platform-outcome-unknown'
}

/** The answer did not come from the object API, such as an HTML page of a gateway. */
export class PlatformBadAnswer extends LentilwheelError {
  readonly code = 'platform-bad-answer'
}

/** The process has used up its share of platform calls. */
export class PlatformBudgetExhausted extends LentilwheelError {
  readonly code = 'platform-budget-exhausted'
}

/** Failures after which the platform counts as away. */
export function isAway (err: unknown): boolean {
  return err instanceof PlatformUnreachable || err instanceof PlatformOutcomeUnknown ||
    err instanceof PlatformBadAnswer
}
