import type { Bench } from '../options.js'

/** Not measured yet. */
export const run: Bench = async () => ({ measured: false })
