import test, { type ExecutionContext } from 'ava'
import { SeededRandom, type Random } from '@lentilwheel/core'
import type { DaemonRestart } from './loadOptions.js'
import { LoadSimulator } from './loadSimulator.js'
import { CARVERS_WORKLOAD } from './workloads.js'

/** More by hand: `SOAK_SEEDS=60 npx ava packages/hop/src/__tests__/crashSoak.spec.ts`. */
const SEEDS = Number(process.env['SOAK_SEEDS'] ?? 4)
const SECONDS = 16
/** Hosts of the first service, whose targets crash. */
const HOSTS = ['h01', 'h02', 'h03', 'h04', 'h05', 'h06']
/** Crashes after which a request is no longer sent, and the arrivals that may still come later than `HEARD_AFTER_MS` after them. */
const MAX_CRASHES = 3
const MAX_LATE_ARRIVALS = 3
const HEARD_AFTER_MS = 3_000
const DEADLY_SHARE = 0.03

/** Targets that are killed at random, alone and together, and daemons that restart. */
function faults (random: Random): { kills: { host: string, atS: number }[], restarts: DaemonRestart[] } {
  const alone = Array.from({ length: 4 }, () => ({ host: random.pick(HOSTS), atS: 2 + 12 * random.next() }))
  const togetherAtS = 3 + 10 * random.next()
  const together = HOSTS.filter(() => random.next() < 0.5).map((host) => ({ host, atS: togetherAtS }))
  const restartAtS = 4 + 8 * random.next()
  return { kills: [...alone, ...together], restarts: [{ host: random.pick(HOSTS), stoppingAtS: restartAtS, downAtS: restartAtS + 1, upAtS: restartAtS + 2 }] }
}

/** Requests of the first class are the same in part, as callers ask for some things often; `deadlyFromS`: since when some are deadly. */
function simulate (seed: number, deadlyFromS: number): LoadSimulator {
  const random = new SeededRandom(Math.imul(seed, 0x9e3779b1))
  let count = 0
  const simulator = new LoadSimulator(CARVERS_WORKLOAD, {
    seed,
    seconds: SECONDS,
    rateAt: () => 0.5,
    pathOf: (cls, second) => {
      if (cls.name === 'browse' && second >= deadlyFromS && random.next() < DEADLY_SHARE) return 'deadly'
      return random.next() < 0.3 ? `often-${random.int(20)}` : `once-${++count}`
    },
    isDeadly: (url) => url.endsWith('/deadly'),
    ...faults(random)
  })
  simulator.run()
  return simulator
}

function checkInnocent (t: ExecutionContext, seed: number, { refusals }: LoadSimulator): void {
  t.is(refusals.get('quarantined') ?? 0, 0, `seed ${seed}: innocent requests were blocked`)
}

for (let seed = 1; seed <= SEEDS; seed++) {
  test(`guards against a deadly request crashing targets on and on, or innocent ones being blocked with it: seed ${seed}`, (t) => {
    const simulator = simulate(seed, 4)
    const { deadlyArrivals, deadlyCrashes } = simulator
    const heardAt = (deadlyCrashes[MAX_CRASHES - 1] ?? Infinity) + HEARD_AFTER_MS
    t.true(deadlyCrashes.length > 0)
    t.true(deadlyArrivals.filter((at) => at > heardAt).length <= MAX_LATE_ARRIVALS)
    checkInnocent(t, seed, simulator)
    t.log(`${deadlyCrashes.length} crashes, refusals ${JSON.stringify([...simulator.refusals])}`)
  })

  test(`guards against requests being refused because targets are killed: seed ${seed}`, (t) => {
    const simulator = simulate(seed, Infinity)
    checkInnocent(t, seed, simulator)
    t.is(simulator.refusals.get('suspect') ?? 0, 0, `seed ${seed}: innocent suspects were refused`)
    t.log(`refusals ${JSON.stringify([...simulator.refusals])}`)
  })
}
