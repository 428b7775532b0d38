import test from 'ava'
import { NESTED_URGENCY } from '../../link/urgency.js'
import { requestFingerprint } from '../../quarantine/requestFingerprint.js'
import { TEST_HEADERS as names } from '../../__tests__/fixtures.js'
import { OutboundSetup, RESPONSE, workspaceWithKey, type RequestSpec } from './outboundSetup.js'

const HOTEL = workspaceWithKey('hotel', 'hotel-key')
const KEY = 'Bearer hotel-key'

function setupWith (...workspaces: Parameters<OutboundSetup['setWorkspaces']>[0]): OutboundSetup {
  const setup = new OutboundSetup()
  setup.setWorkspaces(workspaces)
  return setup
}

const callers: [name: string, request: RequestSpec, outcome: string][] = [
  ['known key', { authorization: KEY }, 'offered for hotel'],
  ['known key on an open route', { authorization: KEY, path: '/open/1' }, 'offered for hotel'],
  ['no key', {}, '401 keyMissing'],
  ['no key on an open route', { path: '/open/1' }, 'offered for nobody'],
  ['unknown key', { authorization: 'Bearer other' }, '401 unknownKey'],
  ['unknown key on an open route', { authorization: 'Bearer other', path: '/open/1' }, '401 unknownKey'],
  ['malformed key', { authorization: 'hotel-key' }, '401 unknownKey'],
  ['no route', { authorization: 'Bearer other', path: '/none/1' }, '404 noRoute'],
  ['nested call', { origin: 'run' }, 'offered for nobody'],
  ['nested call of a repeated run', { origin: 'repeatedRun' }, 'offered for nobody'],
  ['nested call with an unknown key', { origin: 'run', authorization: 'Bearer other' }, '401 unknownKey']
]
for (const [name, request, outcome] of callers) {
  test(`guards against requests running without a right to, or being refused with one: ${name}`, (t) => {
    const setup = setupWith(HOTEL)
    const { responses } = setup.send(request)
    const offer = setup.offers[0]
    t.is(offer ? `offered for ${offer.message.workspace ?? 'nobody'}` : responses.join(), outcome)
    if (!offer) return t.deepEqual(setup.rejections, [outcome.split(' ')[1]!])
    t.deepEqual(setup.offered(0, 'authorization'), [])
    t.deepEqual(setup.offered(0, names.workspace), offer.message.workspace === undefined ? [] : ['hotel'])
  })
}

test('guards against 401 instead of 503 while there is no configuration', (t) => {
  const setup = new OutboundSetup()
  t.deepEqual(setup.send({ authorization: KEY }).responses, ['503 noConfiguration 300'])
})

test('guards against the key header being lost where the configuration has no workspaces', (t) => {
  const setup = setupWith()
  setup.send({ authorization: 'Basic of the service itself' })
  t.deepEqual(setup.offered(0, 'authorization'), ['Basic of the service itself'])
  t.false('workspace' in setup.offers[0]!.message)
})

test('guards against a retry going without the workspace', (t) => {
  const setup = setupWith(HOTEL)
  const { responses } = setup.send({ authorization: KEY })
  setup.offers[0]!.reply({ kind: 'failed', reason: 'reset' })
  setup.offers[1]!.reply(RESPONSE)
  t.deepEqual(responses, ['200'])
  t.deepEqual([0, 1].map((i) => setup.offered(i, names.workspace)), [['hotel'], ['hotel']])
})

test('guards against the name of a workspace being altered on the way to the target', (t) => {
  const setup = setupWith(workspaceWithKey('hôtel', 'k'))
  setup.send({ authorization: 'Bearer k' })
  t.is(Buffer.from(setup.offered(0, names.workspace)[0]!, 'latin1').toString(), 'hôtel')
})

test('guards against requests being ranked by the route where the workspace has a priority', (t) => {
  const setup = setupWith(HOTEL, workspaceWithKey('urgent', 'u', { priority: 0 }), workspaceWithKey('patient', 'p', { priority: 4 }))
  for (const authorization of [KEY, 'Bearer u', 'Bearer p']) setup.send({ authorization })
  setup.send({ origin: 'run' })
  t.deepEqual(setup.offers.map(({ message }) => message.priority), [1, 0, 4, 1])
  t.deepEqual([...new Set(setup.urgencies)], [1, 0, 4, NESTED_URGENCY])
})

test('guards against a withdrawn key being accepted under the next version', (t) => {
  const setup = setupWith(HOTEL)
  setup.send({ authorization: KEY })
  setup.setWorkspaces([{ ...HOTEL, keyHashes: [] }], 2)
  t.deepEqual(setup.send({ authorization: KEY }).responses, ['401 unknownKey'])
  t.is(setup.offers.length, 1)
})

test('guards against the same request of two workspaces being told apart when it crashes targets', (t) => {
  const setup = setupWith(HOTEL, workspaceWithKey('harbour', 'harbour-key'))
  for (const authorization of [KEY, 'Bearer harbour-key']) setup.send({ authorization })
  setup.send({ origin: 'run' })
  const fingerprints = setup.offers.map(({ message }) => requestFingerprint(message, names))
  t.is(new Set(fingerprints).size, 1)
})

test('guards against a key in a log line or in a message between daemons', (t) => {
  const setup = setupWith(HOTEL)
  setup.send({ authorization: KEY })
  setup.send({ authorization: 'Bearer no-such-key' })
  setup.hasTargets = false
  setup.send({ authorization: KEY })
  setup.timers.advance(2_000)
  const texts = JSON.stringify([setup.lines, setup.offers.map(({ message }) => message)])
  t.true(texts.includes('"workspace":"hotel"'))
  t.false(/hotel-key|no-such-key/.test(texts))
})
