// Measures processor time and memory of the ranking of lenders at the size of the design:
//   npx tsx --expose-gc --conditions=source packages/hop/src/quota/__tests__/quotaScale.ts
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { testHost } from '../../__tests__/fixtures.js'
import { NoopCallLog } from '../../observe/callLog.js'
import type { MeshWorkspace } from '../../routing/meshConfig.js'
import { FleetQuotaGate } from '../fleetQuotaGate.js'
import { quotaFleetView } from '../quotaFleetView.js'

const HOSTS = 3_000
const WORKSPACES = 10_000
const CHANGES = 20

const records = Array.from({ length: HOSTS }, (_, i) => testHost(`host-${i}`))
const workspaces: MeshWorkspace[] = Array.from({ length: WORKSPACES }, (_, i) => ({ name: `workspace-${i}`, keyHashes: [], ratePerS: 300, burst: 300 }))
const timers = new VirtualTimers()
const gate = new FleetQuotaGate({ own: records[0]!.host, timers, random: new SeededRandom(1), log: new NoopCallLog(), limitOf: () => undefined, defer: (fn) => { timers.after(0, fn) }, send: () => {}, askReach: () => {} })

function setFleet (down: string): void {
  gate.setFleet(quotaFleetView(records, { isUp: (host) => host !== down, isRefused: () => false }))
}

/** Milliseconds for one of `count` calls. */
function timed (count: number, fn: (i: number) => void): number {
  const startedAt = process.hrtime.bigint()
  for (let i = 0; i < count; i++) fn(i)
  return Number(process.hrtime.bigint() - startedAt) / 1e6 / count
}

function usedMb (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed / 2 ** 20
}

setFleet('')
const before = usedMb()
console.log(`first request of a workspace, with the ranking of ${HOSTS} hosts: ${timed(WORKSPACES, (i) => gate.admit(workspaces[i]!, () => {})).toFixed(3)} ms`)
console.log(`memory of ${WORKSPACES} workspaces in use at one daemon, each with a request that waits: ${(usedMb() - before).toFixed(1)} MB`)
console.log(`a host lost or found again, all workspaces cached: ${timed(CHANGES, (i) => setFleet(i % 2 === 0 ? records[i + 1]!.host : '')).toFixed(2)} ms`)
