import test from 'ava'
import { keyHash } from '@lentilwheel/core'
import type { MeshConfig, MeshWorkspace } from '../meshConfig.js'
import { RouteTable } from '../routeTable.js'
import { reuseUnchanged, workspacesByKeyHash } from '../workspaceIndex.js'

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }

function workspaces (...list: [name: string, ...keys: string[]][]): Map<string, MeshWorkspace> {
  return new Map(list.map(([name, ...keys]) => [name, { name, keyHashes: keys.map((key) => keyHash(key)), ratePerS: 0, burst: 0 }]))
}

function table (given: ReadonlyMap<string, MeshWorkspace>): RouteTable {
  const config: MeshConfig = { version: 1, routes: [], services: new Map(), limits: LIMITS, workspaces: given }
  return new RouteTable(config)
}

test('guards against a key naming another workspace than its own, and against a key that is none', (t) => {
  const routes = table(workspaces(['harbour', 'k1', 'k2'], ['hotel', 'k3'], ['empty']))
  const names = ['k1', 'k2', 'k3', 'k4', '', 'empty', keyHash('k1')].map((key) => routes.workspaceOf(keyHash(key))?.name)
  t.deepEqual(names, ['harbour', 'harbour', 'hotel', undefined, undefined, undefined, undefined])
  t.true(routes.hasWorkspaces)
  t.false(table(new Map()).hasWorkspaces)
})

test('guards against daemons taking a key of two workspaces for different ones', (t) => {
  const forward = workspaces(['a', 'shared'], ['b', 'shared'])
  const backward = workspaces(['b', 'shared'], ['a', 'shared'])
  t.deepEqual([forward, backward].map((given) => table(given).workspaceOf(keyHash('shared'))?.name), ['a', 'a'])
})

test('guards against a key with bytes beyond ASCII being unknown, as its header is read as Latin-1', (t) => {
  t.is(keyHash(Buffer.from('schlüssel').toString('latin1'), 'latin1'), keyHash('schlüssel'))
})

test('guards against the index being made again for a version that changes no workspace', (t) => {
  const before = workspaces(['a', 'k1'], ['b', 'k2'])
  t.is(reuseUnchanged(before, workspaces(['b', 'k2'], ['a', 'k1'])), before)
  t.is(workspacesByKeyHash(before), workspacesByKeyHash(before))
  const changes = [workspaces(['a', 'k1']), workspaces(['a', 'k1'], ['b']), workspaces(['a', 'k1'], ['c', 'k2']), workspaces(['a', 'k1'], ['b', 'k3'])]
  for (const changed of changes) t.is(reuseUnchanged(before, changed), changed)
  t.is(reuseUnchanged(undefined, before), before)
})
