import { cac } from 'cac'
import type { Bench, BenchOptions } from './options.js'

/** Benches by name; each module is loaded only when its bench runs. */
const BENCH_LOADERS: Readonly<Record<string, () => Promise<{ run: Bench }>>> = {
  convergence: async () => await import('./convergence/index.js'),
  recovery: async () => await import('./recovery/index.js'),
  path: async () => await import('./path/index.js'),
  moves: async () => await import('./moves/index.js'),
  start: async () => await import('./start/index.js')
}

const EXIT_USAGE = 2

/** Entry point of the benches: runs the one named on the command line and prints its result as JSON. */
async function main (argv: string[]): Promise<void> {
  const cli = cac('bench')
  cli.command('<name>', `Run a bench: ${Object.keys(BENCH_LOADERS).join(', ')}`)
    .option('--json', 'Print one JSON object as the last line')
    .option('--daemons <n>', 'Number of daemons')
    .option('--seconds <n>', 'Length of the run')
    .option('--rate <n>', 'Calls a second')
    .option('--seed <n>', 'Seed of random choices', { default: 1 })
    .option('--baseline <dir>', 'Compare the call path with an earlier build in this directory, or with "plain", a minimal forwarder')
    .action(async (name: string, opts: BenchOptions & { json?: boolean }) => {
      const loadBench = Object.hasOwn(BENCH_LOADERS, name) ? BENCH_LOADERS[name] : undefined
      if (!loadBench) {
        console.error(`bench: "${name}" is not one of ${Object.keys(BENCH_LOADERS).join(', ')}`)
        process.exitCode = EXIT_USAGE
        return
      }
      const { run } = await loadBench()
      const result = await run(opts, (line) => console.error(line))
      console.log(opts.json ? JSON.stringify(result) : JSON.stringify(result, null, 2))
    })
  cli.help()
  cli.parse(argv, { run: false })
  await cli.runMatchedCommand()
}

await main(process.argv)
