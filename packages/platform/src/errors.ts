import { LentilwheelError } from '@lentilwheel/core'

/** The platform did not serve the request; a write has not taken effect. */
export class PlatformUnreachable extends LentilwheelError {
  readonly code = 'platform-unreachable'
}

/** The object's revision is not the one that the write was conditional on. */
export class PlatformConflict extends LentilwheelError {
  readonly code = 'platform-conflict'
}

/** The response to a write was lost: it may or may not have taken effect. */
export class PlatformOutcomeUnknown extends LentilwheelError {
  readonly code = 'platform-outcome-unknown'
}

/** The response did not come from the object API, such as an HTML page of a gateway. */
export class PlatformBadAnswer extends LentilwheelError {
  readonly code = 'platform-bad-answer'
}

/** The process has used up its budget of platform calls. */
export class PlatformBudgetExhausted extends LentilwheelError {
  readonly code = 'platform-budget-exhausted'
}

/** Whether an error means that the platform is unavailable. */
export function isPlatformUnavailable (err: unknown): boolean {
  return err instanceof PlatformUnreachable || err instanceof PlatformOutcomeUnknown ||
    err instanceof PlatformBadAnswer
}
