import test, { type ExecutionContext } from 'ava'
import { QuotaSimulator, worstExcess } from './quotaSimulator.js'

/** Seconds until all daemons know each other. */
const START_S = 6
const HOT = 'w0'

interface Totals {
  requests: number
  within: number
  granted: number
  exceeded: number
  unknown: number
  /** Share of what the quota allows that was refused. */
  lost: number
}

function started (seed = 1, lossShare = 0): QuotaSimulator {
  const sim = new QuotaSimulator({ seed, lossShare })
  sim.timers.advance(START_S * 1000)
  sim.run(2)
  return sim
}

/** Sums over all workspaces, or of one. */
function totals (sim: QuotaSimulator, only?: string): Totals {
  const sum = { requests: 0, within: 0, granted: 0, exceeded: 0, unknown: 0 }
  let refused = 0
  for (const [name, result] of sim.results) {
    if (only !== undefined && name !== only) continue
    for (const key of ['requests', 'within', 'granted', 'exceeded', 'unknown'] as const) sum[key] += result[key]
    refused += Math.max(0, result.within - result.granted)
  }
  return { ...sum, lost: Number((refused / sum.within).toFixed(4)) }
}

/** Checks the bound of every workspace and logs what was granted. */
function checkBound (t: ExecutionContext, sim: QuotaSimulator): void {
  t.log(`all: ${JSON.stringify(totals(sim))}, messages ${sim.messages}`)
  t.log(`${HOT}: ${JSON.stringify(totals(sim, HOT))}`)
  let worst = -Infinity
  for (const [name, result] of sim.results) worst = Math.max(worst, worstExcess(result, sim.workspaces.get(name)!))
  const worstOfHot = worstExcess(sim.results.get(HOT)!, sim.workspaces.get(HOT)!)
  t.log(`worst window: ${worst.toFixed(1)} above the bound, ${HOT} ${worstOfHot.toFixed(1)}`)
  t.true(worst <= 0)
}

function heat (sim: QuotaSimulator): void {
  sim.demandOf = (name) => name === HOT || name === 'w20' || name === 'w80' ? 8 * 1.6 : 1
}

test('guards against requests within the quota being refused under steady uneven demand', (t) => {
  const sim = started()
  sim.resetCounts()
  sim.run(10)
  checkBound(t, sim)
  t.true(totals(sim).lost <= 0.001)
})

test('guards against a workspace at eight times its rate passing its quota or getting less', (t) => {
  const sim = started()
  sim.resetCounts()
  heat(sim)
  sim.run(12)
  checkBound(t, sim)
  for (const name of [HOT, 'w20', 'w80']) t.true(totals(sim, name).lost <= 0.05, name)
})

test('guards against a quota being lent twice while a third of the daemons are cut off one by one', (t) => {
  const sim = started()
  sim.resetCounts()
  heat(sim)
  sim.run(2)
  for (const daemon of sim.daemons.slice(0, 27)) {
    for (const peer of sim.daemons) if (peer !== daemon) sim.cut(daemon, peer)
    sim.run(0.1)
  }
  sim.run(8)
  for (const daemon of sim.daemons.slice(0, 27)) for (const peer of sim.daemons) if (peer !== daemon) sim.heal(daemon, peer)
  sim.run(5)
  checkBound(t, sim)
})

test('guards against a quota being lent twice by two halves of a divided fleet', (t) => {
  const sim = started()
  sim.resetCounts()
  heat(sim)
  sim.run(2)
  const halves = [sim.daemons.slice(0, 41), sim.daemons.slice(41)] as const
  for (const a of halves[0]) for (const b of halves[1]) sim.cut(a, b)
  sim.run(8)
  for (const a of halves[0]) for (const b of halves[1]) sim.heal(a, b)
  sim.run(5)
  checkBound(t, sim)
})

for (const [name, hot] of [['usual', false], ['eightfold', true]] as const) {
  test(`guards against a quota being lent twice when half of the daemons are killed and restarted: ${name} demand`, (t) => {
    const sim = started()
    sim.resetCounts()
    if (hot) heat(sim)
    sim.run(2)
    const half = sim.daemons.filter((_, i) => i % 2 === 0)
    for (const daemon of half) sim.kill(daemon)
    sim.run(1.5)
    for (const daemon of half) sim.start(daemon)
    sim.run(6)
    checkBound(t, sim)
  })

  test(`guards against a quota being lent twice when all daemons are restarted: ${name} demand`, (t) => {
    const sim = started()
    sim.resetCounts()
    if (hot) heat(sim)
    sim.run(2)
    for (const daemon of sim.daemons) sim.kill(daemon)
    for (const daemon of sim.daemons) sim.start(daemon)
    sim.run(6)
    checkBound(t, sim)
  })

  test(`guards against a quota being lost or lent twice when the lender of the largest workspace is killed: ${name} demand`, (t) => {
    const sim = started()
    sim.resetCounts()
    if (hot) heat(sim)
    sim.run(2)
    const lender = sim.lenderOf(HOT)
    sim.kill(lender)
    sim.run(3)
    sim.start(lender)
    sim.run(5)
    checkBound(t, sim)
  })

  test(`guards against a quota being lost or lent twice while daemons are stopped and started in turn: ${name} demand`, (t) => {
    const sim = started()
    sim.resetCounts()
    if (hot) heat(sim)
    sim.run(2)
    for (const daemon of [sim.lenderOf(HOT), ...sim.daemons.slice(0, 8)]) {
      sim.stop(daemon)
      sim.run(1)
      sim.kill(daemon)
      sim.run(0.5)
      sim.start(daemon)
    }
    sim.run(3)
    checkBound(t, sim)
  })

  test(`guards against a quota being lost or lent twice when the lender of the largest workspace is frozen: ${name} demand`, (t) => {
    const sim = started()
    sim.resetCounts()
    if (hot) heat(sim)
    sim.run(2)
    const lender = sim.lenderOf(HOT)
    sim.freeze(lender)
    sim.run(4)
    sim.wake(lender)
    sim.run(5)
    checkBound(t, sim)
  })

  test(`guards against a quota being lost or lent twice while a third of the daemons can't reach the lender: ${name} demand`, (t) => {
    const sim = started()
    sim.resetCounts()
    if (hot) heat(sim)
    sim.run(2)
    const lender = sim.lenderOf(HOT)
    for (const daemon of sim.daemons.slice(0, 27)) if (daemon !== lender) sim.cut(daemon, lender)
    sim.run(10)
    checkBound(t, sim)
  })

  test(`guards against requests within the quota being refused because messages arrive late: ${name} demand`, (t) => {
    const sim = started(1, 0.02)
    sim.resetCounts()
    if (hot) heat(sim)
    sim.run(10)
    checkBound(t, sim)
  })
}

test('guards against a lowered limit taking effect late', (t) => {
  const sim = started()
  heat(sim)
  sim.run(3)
  sim.setLimit(HOT, 100, 100)
  const from = sim.timers.now()
  sim.run(8)
  const excess = worstExcess(sim.results.get(HOT)!, sim.workspaces.get(HOT)!, from)
  t.log(`worst window after the change: ${excess.toFixed(1)} above the bound`)
  t.true(excess <= 0)
})
