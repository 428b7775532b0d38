import { isPlatformUnavailable } from '@lentilwheel/platform'
import { DaemonBadAnswer, DaemonUnreachable, UsageError } from './errors.js'

export const EXIT_SUCCESS = 0
/** The command was rejected or failed. */
export const EXIT_FAILURE = 1
export const EXIT_USAGE = 2
/** The platform, or the daemon given by --daemon, is unreachable, or something else responds at its address. */
export const EXIT_UNAVAILABLE = 3

export function exitCodeOf (err: unknown): number {
  if (isUsageError(err)) return EXIT_USAGE
  if (isPlatformUnavailable(err) || err instanceof DaemonUnreachable || err instanceof DaemonBadAnswer) return EXIT_UNAVAILABLE
  return EXIT_FAILURE
}

/** Errors of cac are recognised by name, as it does not export their class. */
export function isUsageError (err: unknown): boolean {
  return err instanceof UsageError || (err instanceof Error && err.name === 'CACError')
}
