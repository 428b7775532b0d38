import test from 'ava'
import fc from 'fast-check'
import { applyDelta, deltaBetween } from '../configDelta.js'
import type { MeshConfig, MeshRoute } from '../meshConfig.js'

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 }

function route (name: string, service: string): MeshRoute {
  return {
    name, host: 'h', pathPrefix: `/${name}/`, parts: [{ service, weight: 1 }], idempotent: true, bulky: false, timeoutMs: 1, targetLatencyMs: 1, priority: 1, maxAttempts: 1
  }
}

function config (version: number, routes: MeshRoute[]): MeshConfig {
  return { version, routes, services: new Map([['s', { name: 's', maxConnections: version }]]), limits: LIMITS }
}

const routes = fc.uniqueArray(fc.tuple(fc.constantFrom('a', 'b', 'c', 'd', 'e'), fc.constantFrom('s', 't')), { selector: ([name]) => name })
  .map((pairs) => pairs.map(([name, service]) => route(name, service)))

test('guards against a daemon that fetches a change holding other routes than the one that it fetched from', (t) => {
  fc.assert(fc.property(routes, routes, (before, after) => {
    const base = config(3, before)
    const wanted = config(7, after)
    const got = applyDelta(base, deltaBetween(base, wanted))!
    const sorted = ({ routes: list }: MeshConfig): MeshRoute[] => list.toSorted((a, b) => a.name < b.name ? -1 : 1)
    t.deepEqual({ ...got, routes: sorted(got) }, { ...wanted, routes: sorted(wanted) })
  }), { seed: 5, numRuns: 300 })
})

test('guards against a change being applied to a version that it does not belong to', (t) => {
  const delta = deltaBetween(config(3, [route('a', 's')]), config(7, [route('b', 's')]))
  t.is(applyDelta(config(4, []), delta), undefined)
  t.is(applyDelta(undefined, delta), undefined)
})

test('guards against a change of one route costing the whole configuration', (t) => {
  const many = Array.from({ length: 500 }, (_, i) => route(`r${i}`, 's'))
  const delta = deltaBetween(config(3, many), config(7, [...many.slice(1), route('new', 's')]))
  t.deepEqual([delta.put.map(({ name }) => name), delta.gone], [['new'], ['r0']])
})

test('guards against routes of one name being mixed up', (t) => {
  const twice = config(3, [route('a', 's'), { ...route('a', 's'), pathPrefix: '/other/' }])
  t.deepEqual(applyDelta(undefined, deltaBetween(twice, { ...twice, version: 4 }))?.routes, [...twice.routes])
})
