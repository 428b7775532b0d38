import { readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { capacityTable, CONVERGENCE_QUANTITIES, RECOVERY_QUANTITIES, type Quantity, type BenchRun } from './tables.js'

const EXIT_USAGE = 2

/** Reads the files `<bench>-<daemons>.json`, whose last line is the result of a bench run with `--json`. */
function readRuns (dir: string, bench: string): BenchRun[] {
  const pattern = new RegExp(`^${bench}-(\\d+)\\.json$`)
  return readdirSync(dir)
    .flatMap((name): BenchRun[] => {
      const daemons = pattern.exec(name)?.[1]
      if (daemons === undefined) return []
      const lastLine = readFileSync(join(dir, name), 'utf8').trim().split('\n').at(-1)!
      return [{ daemons: Number(daemons), result: JSON.parse(lastLine) as Record<string, unknown> }]
    })
    .sort((a, b) => a.daemons - b.daemons)
}

/** Replaces the text between `<!-- table:name -->` and `<!-- end -->`. */
function replaceTable (page: string, name: string, table: string): string {
  const pattern = new RegExp(`(<!-- table:${name} -->\\n)[\\s\\S]*?(<!-- end -->)`)
  return page.replace(pattern, `$1${table}\n$2`)
}

/** Fills the tables of the capacity page from a directory of bench results. */
function main (dir: string | undefined, page: string | undefined): void {
  if (dir === undefined || page === undefined) {
    console.error('usage: npm run capacity -- <directory of bench output> <page>')
    process.exitCode = EXIT_USAGE
    return
  }
  let text = readFileSync(page, 'utf8')
  const tables: [string, readonly Quantity[]][] = [
    ['convergence', CONVERGENCE_QUANTITIES], ['recovery', RECOVERY_QUANTITIES]
  ]
  for (const [bench, quantities] of tables) {
    const runs = readRuns(dir, bench)
    if (runs.length >= 2) text = replaceTable(text, bench, capacityTable(quantities, runs))
  }
  writeFileSync(page, text)
}

main(process.argv[2], process.argv[3])
