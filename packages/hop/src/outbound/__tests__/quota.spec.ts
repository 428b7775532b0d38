import test from 'ava'
import { OutboundSetup, RESPONSE, workspaceWithKey } from './outboundSetup.js'

const HOTEL = workspaceWithKey('hotel', 'hotel-key')
const LIMITED = workspaceWithKey('limited', 'limited-key', { ratePerS: 10, burst: 10 })
const KEY = 'Bearer hotel-key'
const LIMITED_KEY = 'Bearer limited-key'

function setupWith (...workspaces: Parameters<OutboundSetup['setWorkspaces']>[0]): OutboundSetup {
  const setup = new OutboundSetup()
  setup.setWorkspaces(workspaces)
  return setup
}

test('guards against the quota being asked for callers without a rate, for nested calls or for retries', (t) => {
  const setup = setupWith(HOTEL, LIMITED)
  setup.send({ authorization: KEY })
  setup.send({ path: '/open/1' })
  setup.send({ origin: 'run', authorization: LIMITED_KEY })
  t.deepEqual(setup.asked, [])
  setup.send({ authorization: LIMITED_KEY })
  setup.offers.at(-1)!.reply({ kind: 'failed', reason: 'reset' })
  t.is(setup.offers.length, 5)
  t.deepEqual(setup.asked.map(({ name }) => name), ['limited'])
})

test('guards against a request over the quota reaching a target, or its caller not learning when it fits', (t) => {
  const setup = setupWith(LIMITED)
  setup.decision = { kind: 'exceeded', retryAfterMs: 40 }
  t.deepEqual(setup.send({ authorization: LIMITED_KEY }).responses, ['429 quotaExceeded 40'])
  setup.decision = { kind: 'unknown', retryAfterMs: 90 }
  t.deepEqual(setup.send({ authorization: LIMITED_KEY }).responses, ['503 quotaUnknown 90'])
  t.deepEqual([setup.offers, setup.givenBack, setup.handler.active], [[], [], 0])
  t.deepEqual(setup.rejections, ['quotaExceeded', 'quotaUnknown'])
  t.deepEqual(setup.ends, ['limited overQuota', 'limited rejected'])
  t.false(JSON.stringify(setup.lines).includes('limited-key'), 'no key in the log')
  t.snapshot(setup.lines)
})

test('guards against the wait for the quota being added to the time that the caller gave', (t) => {
  const setup = setupWith(LIMITED)
  setup.decision = undefined
  const { responses } = setup.send({ authorization: LIMITED_KEY, deadlineMs: 800 })
  t.is(setup.handler.active, 1)
  setup.timers.advance(300)
  t.deepEqual([responses, setup.offers], [[], []])
  setup.asked[0]!.decide({ kind: 'granted' })
  t.is(setup.offers[0]!.message.deadlineMs, 500)
})

test('guards against a caller without an end while the quota gate is silent, and against its right being lost afterwards', (t) => {
  const setup = setupWith(LIMITED)
  setup.decision = undefined
  const { responses } = setup.send({ authorization: LIMITED_KEY, deadlineMs: 800 })
  setup.timers.advance(800)
  t.deepEqual(responses, ['503 quotaUnknown 300'])
  setup.asked[0]!.decide({ kind: 'granted' })
  t.deepEqual([setup.offers, setup.givenBack, setup.handler.active], [[], ['limited'], 0])
})

test('guards against a call for a caller that left while its quota was asked for', (t) => {
  const setup = setupWith(LIMITED)
  setup.decision = undefined
  const { responses, leave } = setup.send({ authorization: LIMITED_KEY })
  leave()
  t.is(setup.handler.active, 0)
  setup.asked[0]!.decide({ kind: 'granted' })
  setup.timers.advance(5_000)
  t.deepEqual([responses, setup.offers, setup.givenBack], [[], [], ['limited']])
  t.snapshot(setup.lines)
})

test('guards against a caller that leaves after its quota was granted keeping its call', (t) => {
  const setup = setupWith(LIMITED)
  setup.decision = undefined
  const { leave } = setup.send({ authorization: LIMITED_KEY })
  setup.asked[0]!.decide({ kind: 'granted' })
  t.is(setup.handler.active, 1)
  leave()
  t.is(setup.handler.active, 0)
  t.deepEqual(setup.givenBack, [], 'it may have run')
})

test('guards against a request that did not run using up the quota', (t) => {
  const setup = setupWith(LIMITED)
  setup.hasTargets = false
  const { responses } = setup.send({ authorization: LIMITED_KEY })
  setup.timers.advance(1_500)
  t.regex(responses.join(), /^503 noTarget/)
  t.deepEqual(setup.givenBack, ['limited'])
  setup.hasTargets = true
  setup.send({ authorization: LIMITED_KEY })
  setup.offers.at(-1)!.reply(RESPONSE)
  t.deepEqual(setup.givenBack, ['limited'])
  t.deepEqual(setup.ends, ['limited rejected', 'limited answered'])
})

test('guards against a key that is withdrawn while the quota is asked for being accepted', (t) => {
  const setup = setupWith(LIMITED, HOTEL)
  setup.decision = undefined
  const { responses } = setup.send({ authorization: LIMITED_KEY })
  setup.setWorkspaces([HOTEL], 2)
  setup.asked[0]!.decide({ kind: 'granted' })
  t.deepEqual([responses, setup.offers, setup.givenBack], [['401 unknownKey'], [], ['limited']])
})

test('guards against a daemon that stops leaving callers without a response while their quota is asked for', (t) => {
  const setup = setupWith(LIMITED)
  setup.decision = undefined
  const { responses } = setup.send({ authorization: LIMITED_KEY })
  setup.handler.abortAll()
  t.deepEqual(responses, ['503 quotaUnknown 50'])
  t.is(setup.handler.active, 0)
})
