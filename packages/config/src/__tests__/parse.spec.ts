import test from 'ava'
import { ConfigInvalid } from '../errors.js'
import { parseConfig } from '../parse.js'

const GOOD = `
services:
  orders:
    versions: [v1, v2]
    current: v1
routes:
  place:
    service: orders
    path: /orders
`

function errorOf (text: string): string {
  try {
    parseConfig(new TextEncoder().encode(text), 'mesh.yaml')
  } catch (err) {
    if (err instanceof ConfigInvalid) return err.message
    throw err
  }
  return 'accepted'
}

test('a valid configuration gets its defaults', (t) => {
  t.snapshot(parseConfig(new TextEncoder().encode(GOOD)))
})

/** Guards against error messages that don't name the line, the path and the fault. */
const INVALID: Record<string, string> = {
  'broken YAML': 'services: [a\n',
  'an unknown section': 'servces: {}\n',
  'an unknown field': GOOD.replace('current:', 'curent:'),
  'an empty file': '# nothing\n',
  'a key that occurs twice': GOOD + 'services: {}\n',
  'excessive nesting': '['.repeat(100_000),
  'a value of the wrong type': GOOD.replace('[v1, v2]', '3'),
  'a route to a missing service': GOOD.replace('service: orders', 'service: order'),
  'two routes that match the same calls': GOOD + '  again:\n    service: orders\n    path: /orders\n',
  'an undeclared current version': GOOD.replace('current: v1', 'current: v3'),
  'a move to an undeclared version': GOOD +
    'moves:\n  m1: { service: orders, from: v1, to: v9, by: 2026-12-04T18:00:00Z }\n',
  'overlapping moves': GOOD + 'moves:\n' +
    '  m1: { service: orders, from: v1, to: v2, by: 2026-12-04T18:00:00Z }\n' +
    '  m2: { service: orders, from: v2, to: v1, by: 2026-12-04T18:00:00Z }\n',
  'a malformed time': GOOD + 'moves:\n  m1: { service: orders, from: v1, to: v2, by: tomorrow }\n',
  'control characters': 'services: {}\n\u0001'
}

for (const [name, text] of Object.entries(INVALID)) {
  test(`rejects ${name}`, (t) => {
    t.snapshot(errorOf(text))
  })
}

test('rejects a file of 20 MB before parsing it', (t) => {
  t.snapshot(errorOf('#'.repeat(20 * 1024 * 1024)))
})
