import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { COUNTER_NAMES } from '@lentilwheel/proxy'

/** A metric as `<name> <count|gauge|timing> <tags>`. */
export type MetricLine = string

const METRIC_CALL = /[mM]etrics\.(count|gauge|timing)\(([^\n]*)\)/g
const NAME_AND_TAGS = /^'([^']+)'(?:.*\{ ([^}]*) \})?/
/** Files whose metric calls have no literal name: sinks that forward names, and the loop over the proxy's COUNTER_NAMES. */
const INDIRECT_FILES = ['core/src/metrics.ts', 'core/src/nodeMetrics.ts', 'proxy/src/counters.ts']

/** Finds every metric that the packages send; throws if the name in a call isn't a literal. */
export function findMetrics (packagesDir: string): MetricLine[] {
  const files = readdirSync(packagesDir, { recursive: true, encoding: 'utf8' })
    .filter((file) => /^[^/]+\/src\/.*\.ts$/.test(file) && !file.includes('__tests__') && !INDIRECT_FILES.includes(file))
  const direct = files.flatMap((file) => metricsIn(file, readFileSync(join(packagesDir, file), 'utf8')))
  return [...new Set([...direct, ...COUNTER_NAMES.map((name) => `proxy.${name} count`)])].sort()
}

function metricsIn (file: string, text: string): MetricLine[] {
  return [...text.matchAll(METRIC_CALL)].map(([call, type, args]) => {
    const found = NAME_AND_TAGS.exec(args!)
    if (!found) throw new Error(`${file}: the name in ${call} is not a literal`)
    const tags = (found[2] ?? '').split(',').map((tag) => tag.split(':')[0]!.trim()).filter((tag) => tag !== '')
    return [found[1], type, ...tags].join(' ')
  })
}

/** Reads the metrics table of a page in the form of `findMetrics`; rows without a unit or meaning are left out. */
export function metricsInTable (page: string): MetricLine[] {
  const section = page.slice(page.indexOf('\n## Metrics\n'))
  return [...section.matchAll(/^\| `([\w.]+)` \| (count|gauge|timing) \| [^|\w]*\w[^|]* \| ([^|]*) \| [^|\w]*\w[^|]* \|$/gm)]
    .map(([, name, type, tags]) => [name, type, ...Array.from(tags!.matchAll(/`(\w+)`/g), (tag) => tag[1])].join(' '))
    .sort()
}
