import { cac } from 'cac'
import type { Bench, BenchOptions } from './options.js'

const BENCHES: Readonly<Record<string, () => Promise<{ run: Bench }>>> = {
  convergence: async () => await import('./convergence/index.js'),
  recovery: async () => await import('./recovery/index.js'),
  path: async () => await import('./path/index.js'),
  moves: async () => await import('./moves/index.js'),
  start: async () => await import('./start/index.js')
}

const EXIT_USAGE = 2

async function main (argv: string[]): Promise<void> {
  const cli = cac('bench')
  cli.command('<name>', `Run a bench: ${Object.keys(BENCHES).join(', ')}`)
    .option('--json', 'Print one JSON object as the last line')
    .option('--daemons <n>', 'Number of daemons')
    .option('--seconds <n>', 'Length of the run')
    .option('--rate <n>', 'Calls a second')
    .option('--seed <n>', 'Seed of random choices', { default: 1 })
    .option('--baseline <dir>', 'Compare the path with an earlier build in this directory, or with "plain", a bare hop')
    .action(async (name: string, opts: BenchOptions & { json?: boolean }) => {
      const load = Object.hasOwn(BENCHES, name) ? BENCHES[name] : undefined
      if (!load) {
        console.error(`bench: "${name}" is not one of ${Object.keys(BENCHES).join(', ')}`)
        process.exitCode = EXIT_USAGE
        return
      }
      const { run } = await load()
      const result = await run(opts, (line) => console.error(line))
      console.log(opts.json ? JSON.stringify(result) : JSON.stringify(result, null, 2))
    })
  cli.help()
  cli.parse(argv, { run: false })
  await cli.runMatchedCommand()
}

await main(process.argv)
