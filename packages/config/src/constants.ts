export const MAX_TEXT_BYTES = 4 * 1024 * 1024
export const MAX_SERVICES = 2_000
export const MAX_ROUTES = 20_000
export const MAX_MOVES = 500
export const MAX_NAME_LENGTH = 100
/** Bundles stay well under the platform's limit of 1 MB a value. */
export const MAX_BUNDLE_BYTES = 512 * 1024
/** Change ids that the head keeps, by which a lost answer is settled. */
export const MAX_HEAD_CHANGES = 64
/** Hashes of replaced objects that the head keeps over all its change records; hashes hardly compress. */
export const MAX_HEAD_REPLACED = 10_000
/** Bundles that a head may reference before acceptance rewrites them into new ones. */
export const MAX_HEAD_BUNDLES = 32
/** Issues that one refusal lists; more would hide the first. */
export const MAX_REPORTED_ISSUES = 20
