import test from 'ava'
import fc from 'fast-check'
import { QuotaSimulator, unevenWorkspaces, worstExcess } from './quotaSimulator.js'

const SEED = 20_261_206
const RUNS = 40
const DAEMONS = 12
const WORKSPACES = 8
const START_S = 4

const FAULTS = ['kill', 'start', 'stop', 'freeze', 'wake', 'cut', 'heal', 'isolate', 'rejoin'] as const
type Fault = typeof FAULTS[number]

interface FaultStep {
  fault: Fault
  /** Indexes of daemons; the second one counts for faults of a link. */
  daemon: number
  peer: number
  /** Time until the next step. */
  waitMs: number
}

const daemonIndex = fc.nat(DAEMONS - 1)
const step: fc.Arbitrary<FaultStep> = fc.record({ fault: fc.constantFrom(...FAULTS), daemon: daemonIndex, peer: daemonIndex, waitMs: fc.integer({ min: 0, max: 2_000 }) })

function apply (sim: QuotaSimulator, { fault, daemon: index, peer: peerIndex }: FaultStep): void {
  const daemon = sim.daemons[index]!
  const peers = sim.daemons.filter((other) => other !== daemon)
  const isRunning = !daemon.hasEnded && !daemon.isFrozen
  switch (fault) {
    case 'kill': if (isRunning) sim.kill(daemon); break
    case 'start': if (daemon.hasEnded) sim.start(daemon); break
    case 'stop': if (isRunning) sim.stop(daemon); break
    case 'freeze': if (isRunning) sim.freeze(daemon); break
    case 'wake': if (daemon.isFrozen) sim.wake(daemon); break
    case 'cut': if (peerIndex !== index) sim.cut(daemon, sim.daemons[peerIndex]!); break
    case 'heal': if (peerIndex !== index) sim.heal(daemon, sim.daemons[peerIndex]!); break
    case 'isolate': for (const peer of peers) sim.cut(daemon, peer); break
    case 'rejoin': for (const peer of peers) sim.heal(daemon, peer); break
  }
}

test('guards against more being lent than the bound allows through any sequence of faults at eightfold demand', (t) => {
  let worst = -Infinity
  fc.assert(fc.property(fc.integer({ min: 1, max: 1_000_000 }), fc.array(step, { minLength: 5, maxLength: 25 }), (seed, steps) => {
    const sim = new QuotaSimulator({ seed, daemons: DAEMONS, workspaces: unevenWorkspaces(WORKSPACES) })
    sim.demandOf = () => 8
    sim.timers.advance(START_S * 1000)
    for (const fault of steps) {
      apply(sim, fault)
      sim.run(fault.waitMs / 1000)
    }
    sim.run(2)
    for (const [name, result] of sim.results) {
      const excess = worstExcess(result, sim.workspaces.get(name)!)
      worst = Math.max(worst, excess)
      if (excess > 0) throw new Error(`${name}: ${excess} above the bound`)
    }
  }), { seed: SEED, numRuns: RUNS })
  t.log(`worst window: ${worst.toFixed(1)} above the bound`)
  t.pass()
})
