import { cac } from 'cac'
import { randomBytes } from 'node:crypto'
import { errorCode, readSettings } from '@lentilwheel/core'
import { Daemon } from './nodeDaemon.js'
import { daemonSettingsSchema } from './settings.js'

/** Runs `lentilwheeld`. */
export async function main (argv: string[]): Promise<void> {
  const cli = cac('lentilwheeld')
  cli.command('[settings]', 'Run the daemon with a settings file')
    .option('--check', 'Print the resolved settings and end')
    .action(async (file: string | undefined, opts: { check?: boolean }) => {
      const cfg = readSettings(file ?? 'lentilwheeld.yaml', daemonSettingsSchema)
      if (opts.check) {
        console.log(JSON.stringify(cfg, null, 2))
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
