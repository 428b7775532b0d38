// Runs a case: writes its record, ends what it started, and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
import { createWriteStream } from 'node:fs'
import { fileURLToPath } from 'node:url'

const LIMIT_MS = 115_000

export const TROUBLE = process.env.TROUBLE !== '0'

/** `play (run)` returns a list of texts, one for each way in which the rule was broken; `run.end` takes what has to be ended. */
export async function runCase (caseUrl, play) {
  const file = createWriteStream(fileURLToPath(new URL('record.txt', caseUrl)))
  const startedAt = Date.now()
  const ends = []
  const record = (line) => file.write(`${String(Date.now() - startedAt).padStart(6)} ${line}\n`)
  const finish = async (code, line) => {
    clearTimeout(timer)
    record(line)
    console.log(line)
    for (const end of ends.reverse()) await Promise.resolve(end()).catch(() => {})
    await new Promise((resolve) => file.end(resolve))
    process.exit(code)
  }
  const timer = setTimeout(() => finish(2, 'could not run: the time is over'), LIMIT_MS)
  process.on('SIGTERM', () => finish(2, 'could not run: stopped'))
  process.on('SIGINT', () => finish(2, 'could not run: stopped'))
  process.on('uncaughtException', (err) => finish(2, `could not run: ${err.stack}`))
  try {
    const broken = await play({ record, end: (fn) => ends.push(fn) })
    if (broken.length === 0) await finish(0, 'the rule held')
    for (const text of broken) record(`broken: ${text}`)
    await finish(1, `the rule was broken: ${broken.join('; ')}`)
  } catch (err) {
    await finish(2, `could not run: ${err.stack}`)
  }
}
