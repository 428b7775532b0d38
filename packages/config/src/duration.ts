import { z } from 'zod'

const UNIT_MS: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000 }
const DURATION = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/

/** Parses `250ms`, `2s`, `10m` or `1h` into milliseconds. */
export function parseDuration (text: string): number | undefined {
  const found = DURATION.exec(text)
  return found ? Math.round(Number(found[1]) * UNIT_MS[found[2]!]!) : undefined
}

/** Prints milliseconds in the largest unit that divides them. */
export function formatDuration (ms: number): string {
  for (const unit of ['h', 'm', 's'] as const) {
    if (ms >= UNIT_MS[unit]! && ms % UNIT_MS[unit]! === 0) return `${ms / UNIT_MS[unit]!}${unit}`
  }
  return `${ms}ms`
}

/** Schema of a duration between two limits in milliseconds; yields milliseconds. */
export function duration (minMs: number, maxMs: number) {
  return z.string().transform((text, ctx) => {
    const ms = parseDuration(text)
    if (ms === undefined) {
      ctx.addIssue({ code: 'custom', message: `"${text}" is not a duration such as 250ms, 2s, 10m or 1h` })
      return z.NEVER
    }
    if (ms < minMs || ms > maxMs) {
      ctx.addIssue({
        code: 'custom',
        message: `${text} is outside ${formatDuration(minMs)} to ${formatDuration(maxMs)}`
      })
      return z.NEVER
    }
    return ms
  }).meta({ format: 'duration', limits: `${formatDuration(minMs)} to ${formatDuration(maxMs)}` })
}
