import { isAway } from '@lentilwheel/platform'
import { DaemonBadAnswer, DaemonUnreachable, UsageError } from './errors.js'

export const EXIT_DONE = 0
/** Refused or failed. */
export const EXIT_REFUSED = 1
export const EXIT_USAGE = 2
/** The platform, or the daemon that is read in its place, is unreachable or is no such thing. */
export const EXIT_PLATFORM_AWAY = 3

export function exitCodeOf (err: unknown): number {
  if (isUsage(err)) return EXIT_USAGE
  if (isAway(err) || err instanceof DaemonUnreachable || err instanceof DaemonBadAnswer) return EXIT_PLATFORM_AWAY
  return EXIT_REFUSED
}

/** cac does not export its error class. */
export function isUsage (err: unknown): boolean {
  return err instanceof UsageError || (err instanceof Error && err.name === 'CACError')
}
