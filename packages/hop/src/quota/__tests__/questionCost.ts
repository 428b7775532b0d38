// Measures the processor time of one question about a quota, at the asker and at the lender, each a process of its own on loopback:
//   npx tsx --conditions=source packages/hop/src/quota/__tests__/questionCost.ts [questions per second] [seconds]
import { fork } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { rendezvousScore, SeededRandom, TickTimers } from '@lentilwheel/core'
import { NO_LAG, unlimitedQueue } from '../../__tests__/fixtures.js'
import { runAfterTurn } from '../../daemon/nodeLoopLag.js'
import type { InboundHandler } from '../../inbound/inboundHandler.js'
import { NodeHopServer } from '../../link/nodeHopServer.js'
import { NodePeerLink } from '../../link/nodePeerLink.js'
import { NoopCallLog } from '../../observe/callLog.js'
import type { MeshWorkspace } from '../../routing/meshConfig.js'
import { FleetQuotaGate, type FleetQuotaGateOptions } from '../fleetQuotaGate.js'

interface Measured {
  processorMs: number
  questions: number
}

const LENDER = 'lender'
const ASKER = 'asker'
/** Many workspaces of little demand, so that nearly each request needs a question. */
const WORKSPACES = 400
const SETTLE_MS = 1_500
const TICK_MS = 10
/** Load before the measurement, in which the code is compiled. */
const WARM_UP = { perSecond: 1_000, seconds: 4 }

const timers = new TickTimers(new SeededRandom(1))

function createGate (own: string, send: FleetQuotaGateOptions['send']): FleetQuotaGate {
  const gate = new FleetQuotaGate({ own, timers, random: new SeededRandom(1), log: new NoopCallLog(), limitOf: () => undefined, defer: runAfterTurn, send, askReach: (_peer, _hosts, done) => done(undefined) })
  gate.setFleet({ candidates: [ASKER, LENDER], reachable: [ASKER, LENDER], unreachable: [] })
  return gate
}

/** Workspaces for which the lender is first in the ranking. */
function lentWorkspaces (): MeshWorkspace[] {
  const names: string[] = []
  for (let i = 0; names.length < WORKSPACES; i++) {
    const name = `workspace-${i}`
    if (rendezvousScore(LENDER, name) > rendezvousScore(ASKER, name)) names.push(name)
  }
  return names.map((name) => ({ name, keyHashes: [], ratePerS: 1_000, burst: 1_000 }))
}

async function runLender (): Promise<void> {
  const gate = createGate(LENDER, (_host, _message, done) => done(undefined))
  const server = new NodeHopServer({ address: '127.0.0.1', port: 0, identity: () => ({ host: LENDER, incarnation: 1 }), timers, queue: unlimitedQueue(), handler: {} as InboundHandler, log: new NoopCallLog(), lag: NO_LAG, onSync: (message) => message, onQuota: (message, reply) => gate.onQuestions(message, reply), isUp: () => true, deltaSince: () => undefined })
  await server.listen()
  let startedAt = process.cpuUsage()
  process.on('message', (command) => {
    if (command === 'start') startedAt = process.cpuUsage()
    else process.send!({ processorMs: processorMsSince(startedAt), questions: gate.counts.lent } satisfies Measured)
  })
  process.send!(server.port)
}

async function runAsker (perSecond: number, seconds: number): Promise<void> {
  const child = fork(fileURLToPath(import.meta.url), [LENDER], { execArgv: process.execArgv })
  const [port] = await once(child, 'message') as [number]
  const link = new NodePeerLink({ host: LENDER, address: '127.0.0.1', port, timers, log: new NoopCallLog(), queue: unlimitedQueue(), idlePingMs: () => 3_000, onStateChange: () => {}, onSilent: () => {} })
  link.keepAlive()
  const workspaces = lentWorkspaces()
  const gate = createGate(ASKER, (_host, message, done) => link.askQuota(message, done))
  await new Promise<void>((resolve) => { timers.after(SETTLE_MS, resolve) })
  await measure(child, gate, workspaces, WARM_UP.perSecond, WARM_UP.seconds)
  for (const rate of [0, perSecond]) {
    const { asker, lender } = await measure(child, gate, workspaces, rate, seconds)
    const perMessage = (ms: number): string => rate === 0 ? '' : `, ${Math.round(ms / asker.questions * 1000)} µs a question`
    console.log(`${rate} requests a second for ${seconds} s: ${asker.questions} messages; asker ${asker.processorMs.toFixed(0)} ms${perMessage(asker.processorMs)}; lender ${lender.processorMs.toFixed(0)} ms${perMessage(lender.processorMs)}`)
  }
  console.log(gate.counts)
  child.kill()
  process.exit(0)
}

async function measure (child: ReturnType<typeof fork>, gate: FleetQuotaGate, workspaces: readonly MeshWorkspace[], perSecond: number, seconds: number): Promise<{ asker: Measured, lender: Measured }> {
  const before = gate.counts.questions
  child.send('start')
  const startedAt = process.cpuUsage()
  let due = 0
  let next = 0
  const stop = timers.every(TICK_MS, () => {
    for (due += perSecond * TICK_MS / 1000; due >= 1; due--) gate.admit(workspaces[next++ % workspaces.length]!, () => {})
  })
  await new Promise<void>((resolve) => { timers.after(seconds * 1000, resolve) })
  stop()
  const asker: Measured = { processorMs: processorMsSince(startedAt), questions: gate.counts.questions - before }
  child.send('report')
  const [lender] = await once(child, 'message') as [Measured]
  return { asker, lender }
}

function processorMsSince (start: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(start)
  return (user + system) / 1000
}

if (process.argv[2] === LENDER) await runLender()
else await runAsker(Number(process.argv[2] ?? 100), Number(process.argv[3] ?? 10))
