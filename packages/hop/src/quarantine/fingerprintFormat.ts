/** Hexadecimal digits of a fingerprint; 96 bits keep accidental collisions out. */
export const FINGERPRINT_CHARS = 24

/** Whether a value from outside has the form of a fingerprint. */
export function isFingerprint (value: unknown): value is string {
  return typeof value === 'string' && value.length === FINGERPRINT_CHARS && /^[0-9a-f]+$/.test(value)
}
