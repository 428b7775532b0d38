import { readFileSync } from 'node:fs'
import { nodeContext, nodeScreen } from './nodeContext.js'
import { runProgram } from './program.js'

/** Entry point of the command `lentilwheel`: runs it with the streams and the environment of this process. */
export async function main (argv: string[]): Promise<void> {
  const { version } = JSON.parse(readFileSync(new URL('../package.json', import.meta.url), 'utf8')) as { version: string }
  // A reader that closes the pipe early, such as `head`, is not an error.
  process.stdout.on('error', (err: NodeJS.ErrnoException) => { if (err.code !== 'EPIPE') throw err })
  process.exitCode = await runProgram(argv, { version, screen: nodeScreen(), makeContext: nodeContext })
}
