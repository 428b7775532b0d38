import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { Deployment } from './deployment.mjs'

/** Time after which a case ends as not run, so that it stays below two minutes. */
const MAX_RUN_MS = 110_000
const HELD = 0
const BROKEN = 1
const NOT_RUN = 2

/**
 * Runs a case and ends the process: with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. `play` gets the deployment
 * and whether the disruption takes place, and resolves to a list of what broke the rule.
 */
export async function runCase (caseUrl, machines, play) {
  const folder = path.dirname(fileURLToPath(caseUrl))
  const isDisrupted = process.env.TROUBLE !== '0'
  const deployment = new Deployment(machines, path.join(folder, 'record.txt'))
  const end = (code) => {
    deployment.record(`exit code ${code}`)
    deployment.stop()
    process.exit(code)
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => end(NOT_RUN))
  process.on('uncaughtException', (err) => {
    deployment.record(`the case couldn't run: ${err.stack}`)
    end(NOT_RUN)
  })
  setTimeout(() => {
    deployment.record('the case took too long')
    end(NOT_RUN)
  }, MAX_RUN_MS)
  try {
    deployment.record(`disruption: ${isDisrupted ? 'yes' : 'no'}`)
    await deployment.start()
    const violations = await play(deployment, isDisrupted)
    for (const violation of violations) deployment.record(`BROKEN ${violation}`)
    const code = violations.length > 0 ? BROKEN : HELD
    deployment.record(code === HELD ? 'the rule held' : 'the rule was broken')
    console.log(code === HELD ? 'the rule held' : violations.join('\n'))
    end(code)
  } catch (err) {
    deployment.record(`the case couldn't run: ${err.stack}`)
    console.error(err)
    end(NOT_RUN)
  }
}
