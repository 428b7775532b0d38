import { writeFileSync } from 'node:fs'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Mesh } from './mesh.mjs'

const HELD = 0
const BROKEN = 1
const NOT_RUN = 2
/** A script may take 120 s. */
const MAX_RUN_MS = 115_000

/** Whether the disruption of the case is to happen. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Lines of `record.txt`, each with the seconds since the start. */
export class Record {
  #startedAt = performance.now()
  #lines = []

  add (text) {
    const line = `${((performance.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)} ${text}`
    this.#lines.push(line)
    if (!/^ *[\d.]+ (sent|run|answer) /.test(line)) console.log(line)
  }

  write (folder) {
    writeFileSync(join(folder, 'record.txt'), `${this.#lines.join('\n')}\n`)
  }
}

/**
 * Runs a case and exits: with 1 if it resolves to a text that tells how the rule was broken, with 0 if it resolves to undefined, with 2 if it
 * could not run. All processes are ended before.
 */
export async function runCase (url, options, run) {
  const folder = dirname(fileURLToPath(url))
  const record = new Record()
  record.add(`TROUBLE=${hasTrouble ? 1 : 0}`)
  const mesh = new Mesh(resolve(folder, '../..'), { ...options, record })
  process.on('exit', () => mesh.kill())
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(NOT_RUN))
  const timer = setTimeout(() => finish(NOT_RUN, 'the case took too long'), MAX_RUN_MS)
  function finish (status, text) {
    clearTimeout(timer)
    record.add(text)
    record.write(folder)
    process.exit(status)
  }
  try {
    const breach = await run(mesh, record)
    await mesh.stop()
    if (breach === undefined) finish(HELD, 'HELD')
    else finish(BROKEN, `BROKEN: ${breach}`)
  } catch (err) {
    finish(NOT_RUN, `NOT RUN: ${err.stack}`)
  }
}
