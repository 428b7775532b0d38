import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { parseSettings } from '@lentilwheel/core'
import { resolveSettings } from '../nodeResolveSettings.js'
import { daemonSettingsSchema, maskSecrets } from '../schema.js'

const VALID_SETTINGS = `
id: d1
dataCentre: sapporo
meshKey: 0123456789abcdef
platform:
  url: http://127.0.0.1:8090
`

/** Guards against error messages that don't say which line is wrong. */
const INVALID_SETTINGS: Record<string, string> = {
  'broken YAML': 'id: [',
  'unknown setting': VALID_SETTINGS + 'colour: red\n',
  'wrong type': VALID_SETTINGS.replace('d1', '[1]'),
  'port out of range': VALID_SETTINGS + 'proxyPort: 70000\n',
  'no key': VALID_SETTINGS.replace(/meshKey.*\n/, ''),
  'short key': VALID_SETTINGS.replace('0123456789abcdef', 'short'),
  'two keys': VALID_SETTINGS + 'meshKeyFile: key\n',
  'seed that is a host name': VALID_SETTINGS + 'seeds: ["peer.example:8083"]\n',
  'empty file': ''
}

for (const [name, text] of Object.entries(INVALID_SETTINGS)) {
  test(`rejects ${name}`, (t) => {
    const err = t.throws(() => parseSettings(text, 'lentilwheeld.yaml', daemonSettingsSchema), { any: true })
    t.snapshot((err as Error).message)
  })
}

test('the mesh key is read from a file next to the settings and masked when printed', (t) => {
  const dir = mkdtempSync(join(tmpdir(), 'lentilwheel-settings-'))
  writeFileSync(join(dir, 'key'), 'a key from a file\n')
  writeFileSync(join(dir, 'd.yaml'), VALID_SETTINGS.replace('meshKey: 0123456789abcdef', 'meshKeyFile: key'))
  const cfg = resolveSettings(join(dir, 'd.yaml'))
  t.is(cfg.meshKey, 'a key from a file')
  t.snapshot(maskSecrets(cfg))
})
