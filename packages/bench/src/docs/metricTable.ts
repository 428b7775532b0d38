import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { COUNTER_NAMES } from '@lentilwheel/proxy'

/** `<name> <count|gauge|timing> <tags>` of one metric. */
export type MetricLine = string

const METRIC_CALL = /[mM]etrics\.(count|gauge|timing)\(([^\n]*)\)/g
const NAME_AND_TAGS = /^'([^']+)'(?:.*\{ ([^}]*) \})?/
/** The sinks forward names, and the proxy's counters are sent by a loop over COUNTER_NAMES. */
const INDIRECT_FILES = ['core/src/metrics.ts', 'core/src/nodeMetrics.ts', 'proxy/src/counters.ts']

/** Every metric that the code of the packages sends; throws when a name cannot be read from the source. */
export function findMetrics (packagesDir: string): MetricLine[] {
  const files = readdirSync(packagesDir, { recursive: true, encoding: 'utf8' })
    .filter((file) => /^[^/]+\/src\/.*\.ts$/.test(file) && !file.includes('__tests__') && !INDIRECT_FILES.includes(file))
  const direct = files.flatMap((file) => metricsIn(file, readFileSync(join(packagesDir, file), 'utf8')))
  return [...new Set([...direct, ...COUNTER_NAMES.map((name) => `proxy.${name} count`)])].sort()
}

function metricsIn (file: string, text: string): MetricLine[] {
  return [...text.matchAll(METRIC_CALL)].map(([whole, type, args]) => {
    const found = NAME_AND_TAGS.exec(args!)
    if (!found) throw new Error(`${file}: the name in ${whole} is not a literal`)
    const tags = (found[2] ?? '').split(',').map((tag) => tag.split(':')[0]!.trim()).filter((tag) => tag !== '')
    return [found[1], type, ...tags].join(' ')
  })
}

/** The rows of the metrics table of a page, in the form of findMetrics; the unit and meaning must not be empty. */
export function metricsInTable (page: string): MetricLine[] {
  const section = page.slice(page.indexOf('\n## Metrics\n'))
  return [...section.matchAll(/^\| `([\w.]+)` \| (count|gauge|timing) \| [^|]*\w[^|]* \| ([^|]*) \| [^|]*\w[^|]* \|$/gm)]
    .map(([, name, type, tags]) => [name, type, ...Array.from(tags!.matchAll(/`(\w+)`/g), (tag) => tag[1])].join(' '))
    .sort()
}
