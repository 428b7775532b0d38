import test from 'ava'
import fc from 'fast-check'
import { applyDelta, deltaBetween } from '../configDelta.js'
import type { MeshConfig, MeshRoute, MeshWorkspace } from '../meshConfig.js'

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 }

function route (name: string, service: string): MeshRoute {
  return {
    name, host: 'h', pathPrefix: `/${name}/`, parts: [{ service, weight: 1 }], idempotent: true, bulky: false, timeoutMs: 1, targetLatencyMs: 1, priority: 1, maxAttempts: 1, allowsAnonymous: false
  }
}

function workspace (name: string, overrides: Partial<MeshWorkspace> = {}): MeshWorkspace {
  return { name, keyHashes: [`hash-${name}`], ratePerS: 5, burst: 5, ...overrides }
}

function config (version: number, routes: MeshRoute[], workspaces: MeshWorkspace[] = []): MeshConfig {
  return {
    version, routes, services: new Map([['s', { name: 's', maxConnections: version }]]), limits: LIMITS, workspaces: new Map(workspaces.map((entry) => [entry.name, entry]))
  }
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

const workspaces = fc.uniqueArray(
  fc.record({ name: fc.constantFrom('a', 'b', 'c', 'd'), keyHashes: fc.array(fc.constantFrom('h1', 'h2', 'h3'), { maxLength: 2 }), ratePerS: fc.constantFrom(0, 5), burst: fc.constantFrom(0, 5) }),
  { selector: ({ name }) => name }
).chain((list) => fc.array(fc.option(fc.nat(2)), { minLength: 4 }).map((priorities) =>
  list.map((entry, i) => ({ ...entry, ...priorities[i] === null ? {} : { priority: priorities[i]! } }))))

test('guards against a delta leading to other workspaces than those of the daemon it was fetched from', (t) => {
  fc.assert(fc.property(workspaces, workspaces, (before, after) => {
    const base = config(3, [], before)
    const newer = config(7, [], after)
    const received = JSON.parse(JSON.stringify(deltaBetween(base, newer)))
    t.deepEqual(new Map([...applyDelta(base, received)!.workspaces].sort()), new Map([...newer.workspaces].sort()))
    t.deepEqual(applyDelta(undefined, deltaBetween(undefined, newer))!.workspaces, newer.workspaces)
  }), { seed: 6, numRuns: 300 })
})

test('guards against a withdrawn key transferring all workspaces, and against unchanged ones being copied', (t) => {
  const many = Array.from({ length: 500 }, (_, i) => workspace(`w${i}`))
  const base = config(3, [], many)
  const delta = deltaBetween(base, config(7, [], [...many.slice(2), workspace('w1', { keyHashes: [] })]))
  t.deepEqual([delta.putWorkspaces, delta.goneWorkspaces], [[workspace('w1', { keyHashes: [] })], ['w0']])
  const routesOnly = applyDelta(base, deltaBetween(base, config(7, [route('new', 's')], many)))!
  t.is(routesOnly.workspaces, base.workspaces)
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
