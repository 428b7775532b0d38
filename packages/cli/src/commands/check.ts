import { parseConfig, toObjects } from '@lentilwheel/config'
import { deadlineWarnings } from '../apply/deadlineWarnings.js'
import type { CommandContext, CommonOptions } from '../context.js'
import { pluralise } from '../output/text.js'
import { Reporter } from '../output/reporter.js'

/** Checks a configuration file without a platform and warns of moves that can't meet their deadline. */
export function check (ctx: CommandContext, file: string, opts: CommonOptions): void {
  const reporter = new Reporter(ctx, opts)
  const bytes = ctx.readFile(file)
  const cfg = parseConfig(bytes, file)
  const warnings = deadlineWarnings({ put: [...toObjects(cfg).values()] }, ctx.timers.wallNow())
  reporter.notices(warnings)
  const counts = {
    services: Object.keys(cfg.services).length,
    routes: Object.keys(cfg.routes).length,
    moves: Object.keys(cfg.moves).length
  }
  reporter.json({ file, ...counts, warnings })
  reporter.print(`${file}: ok, ${pluralise(counts.services, 'service')}, ${pluralise(counts.routes, 'route')}, ` +
    `${pluralise(counts.moves, 'move')}`)
}
