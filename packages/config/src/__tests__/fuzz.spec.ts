import test from 'ava'
import fc from 'fast-check'
import { stringify } from 'yaml'
import { ConfigInvalid } from '../errors.js'
import { parseConfig } from '../parse.js'

/** Parses the input; guards against errors other than ConfigInvalid with at least one issue, and against crashes. */
function parsesOrRejects (bytes: Uint8Array): boolean {
  try {
    parseConfig(bytes)
  } catch (err) {
    if (!(err instanceof ConfigInvalid) || err.issues.length === 0) throw err
  }
  return true
}

const encode = (text: string): Uint8Array => new TextEncoder().encode(text)
const FUZZ_OPTIONS = { seed: 20261204, numRuns: 400 }

const fragments = fc.constantFrom('services', 'routes', 'moves', 'versions', 'current', 'v1', 'orders', 'service', 'path',
  '/a', 'by', '__proto__', 'constructor', ':', ' ', '\n', '  ', '- ', '{', '}', '[', ']', '&a', '*a', '<<', '?', '!!map', '"', '|', '#')
const entry = fc.oneof(
  fc.record({ versions: fc.array(fc.string()), current: fc.string() }, { requiredKeys: [] }),
  fc.record({ service: fc.string(), path: fc.webPath(), methods: fc.anything() }, { requiredKeys: [] }),
  fc.anything()
)
const section = fc.dictionary(fc.string(), entry, { maxKeys: 3 })

test('parses or rejects arbitrary bytes', (t) => {
  t.notThrows(() => fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), parsesOrRejects), FUZZ_OPTIONS))
})

test('parses or rejects YAML fragments in any order', (t) => {
  const text = fc.array(fragments, { maxLength: 40 }).map((parts) => encode(parts.join('')))
  t.notThrows(() => fc.assert(fc.property(text, parsesOrRejects), FUZZ_OPTIONS))
})

test('parses or rejects sections of arbitrary values', (t) => {
  const value = fc.record({ services: section, routes: section, moves: section }, { requiredKeys: [] })
  const text = value.map((cfg) => encode(JSON.stringify(cfg) ?? ''))
  t.notThrows(() => fc.assert(fc.property(text, parsesOrRejects), FUZZ_OPTIONS))
  t.notThrows(() => fc.assert(fc.property(fc.jsonValue().map((cfg) => encode(stringify(cfg))), parsesOrRejects), FUZZ_OPTIONS))
})

for (const [name, text] of Object.entries({
  lists: '['.repeat(100_000), maps: '{a: '.repeat(20_000), keys: '? '.repeat(50_000), items: '- '.repeat(100_000)
})) {
  test(`parses or rejects deeply nested ${name}`, (t) => {
    t.true(parsesOrRejects(encode(text)))
  })
}
