import { fileURLToPath } from 'node:url'

/** Program files for CommandProcess; they are compiled to `dist`. */
export const TARGET_PROGRAM = fileURLToPath(new URL('./targetMain.js', import.meta.url))
export const LOAD_PROGRAM = fileURLToPath(new URL('./load/loadMain.js', import.meta.url))
