import test from 'ava'
import { hostName, SeededRandom } from '@lentilwheel/core'
import type { MeshConfig, MeshRoute, RoutePart } from '../meshConfig.js'
import { RouteTable } from '../routeTable.js'
import { TrafficSplitter } from '../trafficSplitter.js'

function route (name: string, host: string, pathPrefix: string, parts: RoutePart[] = [{ service: name, weight: 1 }]): MeshRoute {
  return { name, host, pathPrefix, parts, idempotent: true, bulky: false, timeoutMs: 1_000, targetLatencyMs: 300, priority: 1, maxAttempts: 2, allowsAnonymous: false }
}

function table (...routes: MeshRoute[]): RouteTable {
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
  const config: MeshConfig = { version: 1, routes, services: new Map(), workspaces: new Map(), limits }
  return new RouteTable(config)
}

test('guards against a request matching a shorter prefix or the route of another host', (t) => {
  const routes = table(route('root', 'a.example', '/'), route('short', 'a.example', '/x/'), route('long', 'a.example', '/x/y/'), route('other', 'b.example', '/x/'))
  const cases = ['/x/y/z', '/x/y', '/x/yy/z', '/x', '/', '/xy/1']
  t.snapshot(cases.map((path) => [path, routes.match('a.example', path)?.name, routes.match('b.example', path)?.name]))
  t.is(routes.match('c.example', '/x/'), undefined)
})

test('guards against a port or upper case in the host header preventing a match', (t) => {
  t.deepEqual(['A.example:8080', 'a.example', '[::1]:80', '[::1]'].map(hostName), ['a.example', 'a.example', '[::1]', '[::1]'])
})

test('guards against short sequences of requests deviating from the weights of a split', (t) => {
  const split = route('r', 'a', '/', [{ service: 'x', weight: 90 }, { service: 'y', weight: 10 }])
  for (let seed = 1; seed <= 20; seed++) {
    const splitter = new TrafficSplitter(new SeededRandom(seed))
    const counts = { x: 0, y: 0 }
    for (let i = 0; i < 100; i++) counts[splitter.nextService(split) as 'x' | 'y']++
    t.true(Math.abs(counts.y - 10) <= 1, `seed ${seed}: ${counts.y}`)
  }
})

test('guards against all daemons sending their first requests to the same part', (t) => {
  const split = route('r', 'a', '/', [{ service: 'x', weight: 50 }, { service: 'y', weight: 50 }])
  const first = Array.from({ length: 40 }, (_, seed) => new TrafficSplitter(new SeededRandom(Math.imul(seed + 1, 0x9e3779b1))).nextService(split))
  t.true(first.includes('x') && first.includes('y'))
})

test('guards against a part without weight getting requests', (t) => {
  const split = route('r', 'a', '/', [{ service: 'x', weight: 0 }, { service: 'y', weight: 3 }])
  const splitter = new TrafficSplitter(new SeededRandom(3))
  t.true(Array.from({ length: 50 }, () => splitter.nextService(split)).every((service) => service === 'y'))
})
