import { cac, type CAC } from 'cac'
import { randomBytes } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { stringify } from 'yaml'
import { errorCode } from '@lentilwheel/core'
import { Daemon } from './nodeDaemon.js'
import { resolveSettings } from './settings/nodeResolveSettings.js'
import { maskSecrets } from './settings/schema.js'

const PROGRAM_NAME = 'lentilwheeld'
const DEFAULT_SETTINGS_FILE = 'lentilwheeld.yaml'
const EXIT_FAILED = 1
const EXIT_USAGE = 2

/** Entry point of `lentilwheeld`: parses the command line, then checks the settings or runs the daemon. */
export async function main (argv: string[]): Promise<void> {
  try {
    const cli = createCli()
    cli.parse(argv, { run: false })
    if (cli.options['help'] || cli.options['version']) return
    await cli.runMatchedCommand()
  } catch (err) {
    fail(err)
  }
}

function createCli (): CAC {
  const cli = cac(PROGRAM_NAME)
  cli.command('[settings]', `Run the daemon with a settings file, ${DEFAULT_SETTINGS_FILE} if not given`)
    .option('--check', 'Print the resolved settings and exit')
    .example(`  $ ${PROGRAM_NAME} --check otaru-4.yaml`)
    .example(`  $ ${PROGRAM_NAME} otaru-4.yaml`)
    .action(async (file: string | undefined, opts: { check?: boolean }) => {
      if (cli.args.length > 1) throw new UsageError(`expected one settings file, got a second one: "${cli.args[1]}"`)
      const cfg = resolveSettings(file ?? DEFAULT_SETTINGS_FILE)
      if (opts.check) console.log(stringify(maskSecrets(cfg)).trimEnd())
      else await run(new Daemon(cfg, randomBytes(4).readInt32LE()))
    })
  cli.version(readVersion())
  cli.help()
  return cli
}

/** Starts the daemon and stops it on a signal. Further signals are ignored: their default action would abort calls. */
async function run (daemon: Daemon): Promise<void> {
  await daemon.start()
  let isStopping = false
  const stop = (): void => {
    if (isStopping) return
    isStopping = true
    daemon.stop().then(() => process.exit(0), fail)
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}

class UsageError extends Error {}

/** Exits even if some ports are open. Prints the error as one line, since supervisors log by line. */
function fail (err: unknown): never {
  const isUsage = err instanceof UsageError || (err instanceof Error && err.name === 'CACError')
  const message = (err as Error).message.split('\n').map((line) => line.trim()).filter(Boolean).join(' ')
  console.error(`${PROGRAM_NAME}: ${isUsage ? 'usage' : errorCode(err)}: ${message}`)
  process.exit(isUsage ? EXIT_USAGE : EXIT_FAILED)
}

function readVersion (): string {
  const text = readFileSync(new URL('../package.json', import.meta.url), 'utf8')
  return (JSON.parse(text) as { version: string }).version
}
