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

for (const [name, make] of Object.entries(EXAMPLES)) {
  test(`example ${name}`, (t) => {
    const mesh = make()
    t.snapshot(mesh.toYaml())
    t.deepEqual(parseConfig(encode(mesh.toYaml())), mesh.toConfig())
    t.deepEqual(parseConfig(encode(mesh.toJson())), mesh.toConfig())
  })
}

test('the first example prints a configuration that is accepted', (t) => {
  const program = fileURLToPath(new URL('../../examples/first.ts', import.meta.url))
  const text = execFileSync(process.execPath, ['--import=tsx', '--conditions=source', program])
  t.deepEqual(Object.keys(parseConfig(text).moves), ['ordersV2'])
})

/** Guards against a diff of two outputs that shows the order of the calls instead of a change. */
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

test('mistakes are refused with their place', (t) => {
  const mesh = new ConfigBuilder()
  const orders = mesh.service('orders', { versions: ['v1', 'v2'], current: 'v1' })
  const refused = (message: RegExp) => ({ any: true, instanceOf: ConfigInvalid, message }) as const
  t.throws(() => mesh.service('orders', { versions: ['v1'], current: 'v1' }), refused(/services\.orders: is declared twice/))
  t.throws(() => mesh.move('m', { service: orders, from: 'v1', to: 'v2', by: new Date(NaN) }), refused(/moves\.m\.by/))
  // @ts-expect-error a version that the service does not declare
  mesh.move('m', { service: orders, from: 'v1', to: 'v3', by: '2026-12-04T18:00:00Z' })
  t.throws(() => mesh.toYaml(), refused(/moves\.m\.to: version "v3"/))
})
