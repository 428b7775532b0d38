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

test('guards against a delta leading to other routes than those of the daemon it was fetched from', (t) => {
  fc.assert(fc.property(routes, routes, (before, after) => {
    const base = config(3, before)
    const newer = config(7, after)
    const applied = applyDelta(base, deltaBetween(base, newer))!
    const sorted = ({ routes: list }: MeshConfig): MeshRoute[] => list.toSorted((a, b) => a.name < b.name ? -1 : 1)
    t.deepEqual({ ...applied, routes: sorted(applied) }, { ...newer, routes: sorted(newer) })
  }), { seed: 5, numRuns: 300 })
})

test('guards against a delta being applied to a version that it is not based on', (t) => {
  const delta = deltaBetween(config(3, [route('a', 's')]), config(7, [route('b', 's')]))
  t.is(applyDelta(config(4, []), delta), undefined)
  t.is(applyDelta(undefined, delta), undefined)
})

test('guards against a change of one route transferring the whole configuration', (t) => {
  const manyRoutes = Array.from({ length: 500 }, (_, i) => route(`r${i}`, 's'))
  const delta = deltaBetween(config(3, manyRoutes), config(7, [...manyRoutes.slice(1), route('new', 's')]))
  t.deepEqual([delta.put.map(({ name }) => name), delta.gone], [['new'], ['r0']])
})

test('guards against routes with the same name replacing each other', (t) => {
  const duplicate = config(3, [route('a', 's'), { ...route('a', 's'), pathPrefix: '/other/' }])
  t.deepEqual(applyDelta(undefined, deltaBetween(duplicate, { ...duplicate, version: 4 }))?.routes, [...duplicate.routes])
})
