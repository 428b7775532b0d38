import { parseConfig, toObjects } from '@lentilwheel/config'
import { deadlineWarnings } from '../apply/deadlines.js'
import type { CommandContext, CommonOptions } from '../context.js'
import { counted } from '../output/text.js'
import { Reporter } from '../output/reporter.js'

/** Checks a configuration without a platform. */
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
  reporter.say(`${file}: ok, ${counted(counts.services, 'service')}, ${counted(counts.routes, 'route')}, ` +
    `${counted(counts.moves, 'move')}`)
}
