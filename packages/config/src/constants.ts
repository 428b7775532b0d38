export const MAX_CONFIG_FILE_BYTES = 4 * 1024 * 1024
export const MAX_SERVICES = 2_000
export const MAX_ROUTES = 20_000
export const MAX_MOVES = 500
export const MAX_NAME_LENGTH = 100
/** Well below the platform's limit of 1 MB per value. */
export const MAX_BUNDLE_BYTES = 512 * 1024
/** Change records that the head keeps. A client that lost the answer to its change finds the id there if it was accepted. */
export const MAX_HEAD_CHANGES = 64
/** Hashes of replaced objects that all change records of a head hold together; hashes hardly compress. */
export const MAX_REPLACED_HASHES = 10_000
/** Bundles that a head may reference before the next change rewrites all objects into new bundles. */
export const MAX_HEAD_BUNDLES = 32
/** Issues that one error lists; with more of them the first would be hard to find. */
export const MAX_REPORTED_ISSUES = 20
