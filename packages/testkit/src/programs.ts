import { fileURLToPath } from 'node:url'

/** Programs to start with CommandProcess; they run from `dist`. */
export const TARGET_PROGRAM = fileURLToPath(new URL('./targetMain.js', import.meta.url))
export const LOAD_PROGRAM = fileURLToPath(new URL('./load/loadMain.js', import.meta.url))
