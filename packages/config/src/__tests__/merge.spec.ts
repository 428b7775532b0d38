import test from 'ava'
import { decodeHead, encodeHead } from '@lentilwheel/platform'
import { BaseVersionNotKept, ChangeConflict } from '../errors.js'
import { applyChange, createChange, checkRebase, EMPTY_HEAD, MAX_HEAD_CHANGES, touchedKeys, type Head } from '../index.js'
import { mergeChange, objectHashesAt } from '../mergeChange.js'
import { makeObject, type ConfigObject } from '../objects.js'

/** Objects of services by key; each spec is `<service>:<version>`. */
function objects (...specs: string[]): Map<string, ConfigObject> {
  return new Map(specs.map((spec) => {
    const [name, version] = spec.split(':') as [string, string]
    const object = makeObject(`service/${name}`, { versions: [version], current: version } as never)
    return [object.key, object]
  }))
}

/** The head after a change to the wanted objects. */
function accept (head: Head, wanted: Map<string, ConfigObject>, author = 'ayana'): Head {
  const info = { id: `c${head.version + 1}`, author, acceptedAt: head.version }
  return applyChange(head, createChange(head, wanted, info), [])
}

const INFO = { id: 'mine', author: 'mari', acceptedAt: 9 }

test('older versions are rebuilt from the change records', (t) => {
  const heads = [objects('a:1', 'b:1'), objects('a:2', 'b:1', 'c:1'), objects('c:1'), objects('a:1', 'c:2')]
    .reduce<Head[]>((list, wanted) => [...list, accept(list.at(-1)!, wanted)], [EMPTY_HEAD])
  for (const head of heads) t.deepEqual(objectHashesAt(heads.at(-1)!, head.version), head.objects)
})

/** Guards against an outdated file that reverts changes accepted since its base version. */
test('a three-way merge keeps later changes of other objects', (t) => {
  const one = accept(EMPTY_HEAD, objects('a:1', 'b:1', 'gone:1'))
  const two = accept(one, objects('a:1', 'b:2', 'gone:1', 'new:1'))
  const change = mergeChange(two, 1, objects('a:2', 'b:1'), INFO)
  t.deepEqual(touchedKeys(change), ['service/a', 'service/gone'])
  t.deepEqual(applyChange(two, change, []).objects, accept(EMPTY_HEAD, objects('a:2', 'b:2', 'new:1')).objects)
})

test('two operators may make the same edit, but different edits of one object conflict', (t) => {
  const two = accept(accept(EMPTY_HEAD, objects('a:1')), objects('a:2'), 'other')
  t.deepEqual(touchedKeys(mergeChange(two, 1, objects('a:2'), INFO)), [])
  t.throws(() => mergeChange(two, 1, objects('a:3'), INFO), { any: true, instanceOf: ChangeConflict, message: /other/ })
})

test('a base version that the head cannot rebuild is rejected', (t) => {
  let head = EMPTY_HEAD
  for (let i = 0; i <= MAX_HEAD_CHANGES; i++) head = accept(head, objects(`a:${i}`))
  for (const version of [0, head.version + 1]) {
    t.throws(() => mergeChange(head, version, objects('a:9'), INFO), { any: true, instanceOf: BaseVersionNotKept })
  }
})

/** Guards against a configuration within its limits whose head exceeds the platform's limit of 1 MB per value. */
test('the head of the largest configuration fits, even after two changes of every object', (t) => {
  const names = Array.from({ length: 22_500 }, (_, i) => `regionalWarehouse${i}`)
  let head = EMPTY_HEAD
  for (const version of ['1', '2', '3']) head = accept(head, objects(...names.map((name) => `${name}:${version}`)))
  const bytes = encodeHead(head)
  t.true(bytes.length < 1024 * 1024, `${bytes.length} bytes`)
  t.deepEqual(decodeHead(bytes), head)
  t.deepEqual(head.changes.map(({ id }) => id), ['c1', 'c2', 'c3'])
  t.throws(() => objectHashesAt(head, 2), { any: true, instanceOf: BaseVersionNotKept })
  const older = { ...head, objects: { ...head.objects, 'service/regionalWarehouse7': 'other' } }
  const change = { ...INFO, put: [...objects('regionalWarehouse7:9').values()], remove: [] }
  t.throws(() => checkRebase(older, head, change), { any: true, instanceOf: ChangeConflict, message: /change c3/ })
})
