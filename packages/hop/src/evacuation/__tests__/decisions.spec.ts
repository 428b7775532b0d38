import test from 'ava'
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { TEST_ROUTE as route, testHost } from '../../__tests__/fixtures.js'
import { LocalTarget, type Announcement } from '../../inbound/localTarget.js'
import { TestSetup } from '../../inbound/__tests__/inboundSetup.js'
import { LoadBalancer } from '../../outbound/loadBalancer.js'
import { VersionRules } from '../../rollout/versionRules.js'

const traits = { route, urgency: 1, requestBytes: 0, responseBytes: 0 }
const COLD_PER_S = 9.1
/** Requests that a cold target may get within any second. */
const MAX_COLD_REQUESTS = COLD_PER_S * 1.5 + 8
const ANNOUNCE_MS = 1_500

test('guards against targets of an evacuated data centre being candidates, as local, preferred, designated or only ones', (t) => {
  const evacuated = new Set<string>()
  const balancer = new LoadBalancer({
    timers: new VirtualTimers(), random: new SeededRandom(1), dataCentre: 'otaru', host: 'own', evacuations: { isEvacuated: (dataCentre) => evacuated.has(dataCentre) }
  })
  const records = [testHost('own', 'otaru'), testHost('near', 'otaru'), testHost('far', 'sapporo')]
  const ranked = (): string[] => balancer.rank('s', traits, () => true, 'near').map(({ host }) => host).sort()
  const designated = (key: string): string[] => balancer.designated('s', traits, () => true, key).map(({ host }) => host)
  const keys = Array.from({ length: 20 }, (_, i) => `k${i}`)
  balancer.setHosts(records)
  t.deepEqual(ranked(), ['far', 'near', 'own'])
  evacuated.add('otaru')
  balancer.setHosts(records)
  t.deepEqual(ranked(), ['far'])
  t.true(keys.every((key) => designated(key).join() === 'far'))
  evacuated.add('sapporo')
  balancer.setHosts(records)
  t.deepEqual(ranked(), [])
  t.deepEqual(designated('k'), [])
  evacuated.clear()
  balancer.setHosts(records)
  t.deepEqual(ranked(), ['far', 'near', 'own'])
})

test('guards against requests for a new version failing because all its targets are evacuated', (t) => {
  const rules = new VersionRules(new SeededRandom(1), { isEvacuated: (dataCentre) => dataCentre === 'otaru' })
  const old = testHost('old', 'sapporo')
  rules.setHosts([old])
  rules.setHosts([old, testHost('new', 'otaru', { version: 'v2' })])
  rules.setOrder({ id: 's/v2', service: 's', to: 'v2', durationMs: 1_000, state: 'running', revision: { epoch: 1, number: 1 } })
  rules.setFacts('s/v2', { stage: { kind: 'stage', move: 's/v2', stage: 3, share: 1, at: 1 } })
  for (let i = 0; i < 20; i++) t.true(rules.choose('s')!.accepts(old))
})

test('guards against requests reaching a target of an evacuated data centre, and against those that run there being cut off', (t) => {
  const setup = new TestSetup()
  for (const key of ['running1', 'running2', 'queued']) setup.offer(key)
  setup.isEvacuated = true
  setup.handler.onEvacuation()
  setup.offer('late', { mode: 'now' })
  setup.offer('asked', { mode: 'ask' })
  setup.offer('local', { nested: true })
  setup.respond('running1')
  setup.timers.advance(100)
  t.deepEqual(['running1', 'running2', 'queued', 'late', 'asked', 'local'].map((key) => setup.outcomeOf(key)), ['200', 'open', 'notRun evacuated', 'notRun evacuated', 'notRun evacuated', 'notRun evacuated'])
  t.deepEqual(setup.sent.map(({ id, isAborted }) => [id, isAborted]), [['running1', false], ['running2', false]])
  setup.isEvacuated = false
  setup.offer('after', { mode: 'now' })
  t.is(setup.outcomeOf('after'), 'open')
})

/** Largest number of requests that the target gets within a second while many are offered; each takes `workMs`. */
function peakPerSecond (setup: TestSetup, { forMs, workMs }: { forMs: number, workMs: number }): number {
  const times: number[] = []
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += 10) {
    const before = setup.sent.length
    setup.offer(`k${setup.timers.now()}`, { targetId: 'i-2', mode: elapsedMs % 20 === 0 ? 'now' : 'queue' })
    setup.timers.advance(10)
    for (const { id } of setup.sent.slice(before)) {
      times.push(setup.timers.now())
      setup.timers.after(workMs, () => setup.respond(id))
    }
  }
  return Math.max(0, ...times.map((from) => times.filter((at) => at >= from && at < from + 1_000).length))
}

function coldSetup (): TestSetup {
  const setup = new TestSetup()
  setup.coldPerS = COLD_PER_S
  setup.target = { ...setup.target!, id: 'i-2', slots: 8 }
  setup.handler.onTargetChange()
  return setup
}

test('guards against a target that turned cold unnoticed getting more than it tolerates from the end of an evacuation on', (t) => {
  const setup = coldSetup()
  setup.isEvacuated = true
  setup.handler.onEvacuation()
  setup.timers.advance(5_000)
  setup.isEvacuated = false
  setup.isPresumedCold = true
  const unknownPeak = peakPerSecond(setup, { forMs: ANNOUNCE_MS, workMs: 20 })
  t.true(unknownPeak > 0 && unknownPeak <= MAX_COLD_REQUESTS, String(unknownPeak))
  setup.isPresumedCold = false
  setup.target = { ...setup.target!, coldMs: 3_000 }
  const coldPeak = peakPerSecond(setup, { forMs: 3_000, workMs: 20 })
  t.true(coldPeak > 0 && coldPeak <= MAX_COLD_REQUESTS, String(coldPeak))
  setup.target = { ...setup.target!, coldMs: 0 }
  t.true(peakPerSecond(setup, { forMs: 1_000, workMs: 20 }) > 2 * MAX_COLD_REQUESTS)
})

test('guards against a target that turns cold in the middle of the day getting more than it tolerates once it says so', (t) => {
  const setup = coldSetup()
  t.true(peakPerSecond(setup, { forMs: 2_000, workMs: 20 }) > 2 * MAX_COLD_REQUESTS)
  setup.target = { ...setup.target!, coldMs: 3_000 }
  const peak = peakPerSecond(setup, { forMs: 3_000, workMs: 20 })
  t.true(peak > 0 && peak <= MAX_COLD_REQUESTS, String(peak))
})

test('guards against a target counting as cold after it has said that it isn\'t, and against a late announcement saying so', (t) => {
  const target = new LocalTarget(ANNOUNCE_MS)
  const announcement: Announcement = { id: 'i', service: 's', version: 'v1', slots: 4, state: 'ready', coldMs: 0, sequence: 2, startedAt: 1_000 }
  target.announce(announcement, 0)
  t.false(target.isPresumedCold)
  target.presumeCold()
  target.announce({ ...announcement, sequence: 1 }, 100)
  t.true(target.isPresumedCold)
  target.announce({ ...announcement, sequence: 3 }, 200)
  t.false(target.isPresumedCold)
})
