import test from 'ava'
import type { DaemonRestart, StatedLimit } from './loadOptions.js'
import { LoadSimulator } from './loadSimulator.js'
import { ATELIER_WORKLOAD } from './workloads.js'

const SEEDS = [1, 2, 3]
const SECONDS = 24
/** A target may get at most so many times its limit, and so many requests more, within the window. */
const TOLERANCE = { factor: 1.5, slack: 5, windowMs: 4_000 }
/** Time after a limit was stated from which it binds. */
const BINDING_AFTER_MS = 3_000
/** Time after a response with a limit from which the requests of the daemon that passed it on count. */
const TOLD_AFTER_MS = 500

/** A limit that a target states from a time on; undefined for none. */
interface LimitStep {
  atS: number
  perS: number | undefined
}

/** Most requests above what a limit allows in any window, over all limits that the target stated. */
function worstExcess (arrivals: readonly number[], limits: readonly StatedLimit[]): number {
  let worst = -Infinity
  for (const [i, { at: statedAt, perS }] of limits.entries()) {
    if (perS === Infinity) continue
    const endsAt = limits[i + 1]?.at ?? Infinity
    const isFirst = i === 0 || limits[i - 1]!.perS === Infinity
    for (const at of arrivals) {
      if (at < statedAt + BINDING_AFTER_MS || at > endsAt) continue
      const countsFrom = Math.max(at - TOLERANCE.windowMs, isFirst ? statedAt + TOLD_AFTER_MS : 0)
      const count = arrivals.filter((other) => other > countsFrom && other <= at).length
      worst = Math.max(worst, count - (TOLERANCE.factor * TOLERANCE.windowMs / 1000 * perS + TOLERANCE.slack))
    }
  }
  return worst
}

interface LimitCase {
  name: string
  /** Limits of the hosts that state one, by host. */
  steps: Record<string, LimitStep[]>
  restarts?: DaemonRestart[]
}

/** Hosts h01 to h04 have the targets of showroom, which get about 14 requests a second each; h05 to h08 those of orders, which get about 27, most of them nested calls. */
const cases: LimitCase[] = [
  { name: 'steady', steps: { h01: [{ atS: 4, perS: 7 }], h02: [{ atS: 4, perS: 5 }], h03: [{ atS: 4, perS: 9 }] } },
  { name: 'of less than one request a second', steps: { h01: [{ atS: 4, perS: 0.4 }], h02: [{ atS: 4, perS: 0 }] } },
  { name: 'by all targets of the service', steps: { h01: [{ atS: 4, perS: 5 }], h02: [{ atS: 4, perS: 6 }], h03: [{ atS: 4, perS: 7 }], h04: [{ atS: 4, perS: 8 }] } },
  { name: 'of targets that mostly get nested calls', steps: { h05: [{ atS: 4, perS: 12 }], h06: [{ atS: 4, perS: 12 }] } },
  { name: 'falling and rising', steps: { h01: [{ atS: 3, perS: 12 }, { atS: 8, perS: 3 }, { atS: 14, perS: 8 }], h04: [{ atS: 3, perS: 10 }, { atS: 9, perS: 1 }] } },
  { name: 'ending and stated again', steps: { h04: [{ atS: 3, perS: 6 }, { atS: 9, perS: undefined }, { atS: 13, perS: 5 }] } },
  { name: 'while the daemon beside it restarts', steps: { h01: [{ atS: 3, perS: 5 }], h02: [{ atS: 3, perS: 3 }] }, restarts: [{ host: 'h01', stoppingAtS: 8, downAtS: 11, upAtS: 11.6 }, { host: 'h02', stoppingAtS: 12, downAtS: 14.5, upAtS: 15 }, { host: 'h01', stoppingAtS: 16, downAtS: 18, upAtS: 18.4 }] }
]

for (const { name, steps, restarts = [] } of cases) {
  test(`guards against a target getting more requests than it says that it takes: a limit ${name}`, (t) => {
    const exceeded: string[] = []
    for (const seed of SEEDS) {
      const simulator = new LoadSimulator(ATELIER_WORKLOAD, {
        seed,
        seconds: SECONDS,
        rateAt: () => 1,
        limitPerS: (host, _service, second) => steps[host]?.findLast(({ atS }) => atS <= second)?.perS,
        restarts
      })
      simulator.run()
      t.deepEqual([...simulator.statedLimits.keys()].sort(), Object.keys(steps))
      for (const [host, limits] of simulator.statedLimits) {
        const excess = worstExcess(simulator.arrivals.get(host)!, limits)
        if (excess > 0) exceeded.push(`seed ${seed}, ${host}: ${excess} more than allowed`)
      }
    }
    t.deepEqual(exceeded, [])
  })
}
