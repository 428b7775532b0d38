import { cac } from 'cac'
import { randomBytes } from 'node:crypto'
import { stringify } from 'yaml'
import { errorCode } from '@lentilwheel/core'
import { Daemon } from './nodeDaemon.js'
import { resolveSettings } from './settings/nodeResolve.js'
import { maskSecrets } from './settings/schema.js'

/** Runs `lentilwheeld`. */
export async function main (argv: string[]): Promise<void> {
  const cli = cac('lentilwheeld')
  cli.command('[settings]', 'Run the daemon with a settings file')
    .option('--check', 'Print the resolved settings and end')
    .action(async (file: string | undefined, opts: { check?: boolean }) => {
      const cfg = resolveSettings(file ?? 'lentilwheeld.yaml')
      if (opts.check) {
        console.log(stringify(maskSecrets(cfg)).trimEnd())
        return
      }
      const daemon = new Daemon(cfg, randomBytes(4).readInt32LE())
      await daemon.start()
      const stop = (): void => { daemon.stop().then(() => process.exit(0), () => process.exit(1)) }
      process.once('SIGTERM', stop)
      process.once('SIGINT', stop)
    })
  cli.help()
  try {
    cli.parse(argv, { run: false })
    await cli.runMatchedCommand()
  } catch (err) {
    console.error(`lentilwheeld: ${errorCode(err)}: ${(err as Error).message}`)
    process.exitCode = 1
  }
}
