import test from 'ava'
import { TrafficSummary } from '../trafficSummary.js'

const metrics = { wait: () => {}, refusal: () => {} }

test('guards against waits of one kind of request being counted for another, and against sums that never start anew', (t) => {
  const summary = new TrafficSummary(metrics)
  summary.record('a', { placing: 1.4, queue: 0, target: 90, transit: 300 }, 5_000)
  summary.record('a', { placing: 0, queue: 20, target: 50, transit: 10 }, 4_000)
  summary.record('b', { placing: 0, queue: 0, target: 10, transit: 1 }, 0)
  summary.recordRefusal('b', 'busy')
  t.snapshot(summary.take())
  t.is(summary.take(), undefined)
})

test('guards against a log line without bound while there are many routes', (t) => {
  const summary = new TrafficSummary(metrics)
  for (let i = 0; i < 300; i++) summary.record(`r${i}`, { placing: 0, queue: 0, target: 1, transit: 1 }, 0)
  for (let i = 0; i < 5; i++) summary.record('busiest', { placing: 0, queue: 0, target: 1, transit: 1 }, 0)
  const routes = Object.keys(summary.take()!)
  t.is(routes.length, 20)
  t.is(routes[0], 'busiest')
})

test('guards against workspaces being taken for one another, and against a log line without bound while there are many', (t) => {
  const summary = new TrafficSummary(metrics)
  t.is(summary.takeWorkspaces(), undefined)
  for (let i = 0; i < 300; i++) summary.recordWorkspace(`w${i}`, 'answered')
  for (const outcome of ['answered', 'overQuota', 'overQuota', 'rejected'] as const) summary.recordWorkspace('busiest', outcome)
  const workspaces = summary.takeWorkspaces()!
  t.is(Object.keys(workspaces).length, 20)
  t.deepEqual(Object.entries(workspaces)[0], ['busiest', { answered: 1, rejected: 1, overQuota: 2 }])
  t.is(summary.takeWorkspaces(), undefined)
})
