import test from 'ava'
import { execFileSync } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { ConfigInvalid, parseConfig } from '@lentilwheel/config'
import { addisConfig } from '../../examples/addis.js'
import { kitaboshiConfig } from '../../examples/kitaboshi.js'
import { ConfigBuilder } from '../builder.js'

const encode = (text: string): Uint8Array => new TextEncoder().encode(text)

const EXAMPLES = {
  kitaboshi: () => kitaboshiConfig(),
  'kitaboshi with a move': () => kitaboshiConfig({ moveOrdersBy: new Date(0) }),
  addis: addisConfig
}

for (const [name, createBuilder] of Object.entries(EXAMPLES)) {
  test(`example ${name} gives the same configuration as YAML and JSON`, (t) => {
    const mesh = createBuilder()
    t.snapshot(mesh.toYaml())
    t.deepEqual(parseConfig(encode(mesh.toYaml())), mesh.toConfig())
    t.deepEqual(parseConfig(encode(mesh.toJson())), mesh.toConfig())
  })
}

test('the first example prints a valid configuration', (t) => {
  const program = fileURLToPath(new URL('../../examples/first.ts', import.meta.url))
  const text = execFileSync(process.execPath, ['--import=tsx', '--conditions=source', program])
  t.deepEqual(Object.keys(parseConfig(text).moves), ['ordersV2'])
})

/** Guards against output that changes with the order of declaration, which would clutter its diffs. */
test('the output does not depend on the order of declaration', (t) => {
  const build = (names: readonly string[]): string => {
    const mesh = new ConfigBuilder()
    for (const name of names) {
      const service = mesh.service(name, { current: 'v1', versions: ['v1'] })
      mesh.route(name, { path: `/${name}`, service, headers: Object.fromEntries(names.map((key) => [`x-${key}`, '1'])) })
    }
    return mesh.toYaml()
  }
  t.is(build(['b', 'a']), build(['a', 'b']))
})

test('invalid declarations are rejected with their path', (t) => {
  const mesh = new ConfigBuilder()
  const orders = mesh.service('orders', { versions: ['v1', 'v2'], current: 'v1' })
  const rejection = (message: RegExp) => ({ any: true, instanceOf: ConfigInvalid, message }) as const
  t.throws(() => mesh.service('orders', { versions: ['v1'], current: 'v1' }), rejection(/services\.orders: is declared twice/))
  t.throws(() => mesh.move('m', { service: orders, from: 'v1', to: 'v2', by: new Date(NaN) }), rejection(/moves\.m\.by/))
  // @ts-expect-error a version that the service does not declare
  mesh.move('m', { service: orders, from: 'v1', to: 'v3', by: '2026-12-04T18:00:00Z' })
  t.throws(() => mesh.toYaml(), rejection(/moves\.m\.to: version "v3"/))
})
