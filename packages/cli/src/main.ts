import { readFileSync } from 'node:fs'
import { nodeContext, nodeScreen } from './nodeContext.js'
import { runProgram } from './program.js'

/** Runs `lentilwheel`. */
export async function main (argv: string[]): Promise<void> {
  const { version } = JSON.parse(readFileSync(new URL('../package.json', import.meta.url), 'utf8')) as { version: string }
  // A pipe that is closed early, such as by `head`, is no failure.
  process.stdout.on('error', (err: NodeJS.ErrnoException) => { if (err.code !== 'EPIPE') throw err })
  process.exitCode = await runProgram(argv, { version, screen: nodeScreen(), makeContext: nodeContext })
}
