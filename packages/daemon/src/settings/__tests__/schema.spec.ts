import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { parseSettings } from '@lentilwheel/core'
import { resolveSettings } from '../nodeResolve.js'
import { daemonSettingsSchema, maskSecrets } from '../schema.js'

const GOOD = `
id: d1
dataCentre: sapporo
meshKey: 0123456789abcdef
platform:
  url: http://127.0.0.1:8090
`

/** Guards against refusals that don't say which line is wrong. */
const REFUSED: Record<string, string> = {
  'broken YAML': 'id: [',
  'unknown setting': GOOD + 'colour: red\n',
  'wrong type': GOOD.replace('d1', '[1]'),
  'port out of range': GOOD + 'proxyPort: 70000\n',
  'no key': GOOD.replace(/meshKey.*\n/, ''),
  'short key': GOOD.replace('0123456789abcdef', 'short'),
  'two keys': GOOD + 'meshKeyFile: key\n',
  'seed that is a host name': GOOD + 'seeds: ["peer.example:8083"]\n',
  'empty file': ''
}

for (const [name, text] of Object.entries(REFUSED)) {
  test(`refuses ${name}`, (t) => {
    const err = t.throws(() => parseSettings(text, 'lentilwheeld.yaml', daemonSettingsSchema), { any: true })
    t.snapshot((err as Error).message)
  })
}

test('the key comes from a file beside the settings and is masked when printed', (t) => {
  const dir = mkdtempSync(join(tmpdir(), 'lentilwheel-settings-'))
  writeFileSync(join(dir, 'key'), 'a key from a file\n')
  writeFileSync(join(dir, 'd.yaml'), GOOD.replace('meshKey: 0123456789abcdef', 'meshKeyFile: key'))
  const cfg = resolveSettings(join(dir, 'd.yaml'))
  t.is(cfg.meshKey, 'a key from a file')
  t.snapshot(maskSecrets(cfg))
})
