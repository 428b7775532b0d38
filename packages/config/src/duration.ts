import { z } from 'zod'

const UNIT_MS: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000 }
const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/

/** Parses a duration such as `250ms`, `2s`, `10m` or `1h` into milliseconds; undefined if it is malformed. */
export function parseDuration (text: string): number | undefined {
  const match = DURATION_PATTERN.exec(text)
  return match ? Math.round(Number(match[1]) * UNIT_MS[match[2]!]!) : undefined
}

/** Formats milliseconds in the largest unit that divides them evenly. */
export function formatDuration (ms: number): string {
  for (const unit of ['h', 'm', 's'] as const) {
    if (ms >= UNIT_MS[unit]! && ms % UNIT_MS[unit]! === 0) return `${ms / UNIT_MS[unit]!}${unit}`
  }
  return `${ms}ms`
}

/** Schema of a duration text between two limits; its output is in milliseconds. */
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
