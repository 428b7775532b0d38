import { spawn } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import test from 'ava'

const DEMO = fileURLToPath(new URL('../../dist/demo/index.js', import.meta.url))

/** Guards against moves that stop, or outcomes that are never recorded, because the platform is down during the moves. */
test('moves end while the platform is down and are reported afterwards', async (t) => {
  const child = spawn(process.execPath, [DEMO, '--platform-down'], { stdio: ['ignore', 'pipe', 'pipe'] })
  let output = ''
  child.stdout.on('data', (chunk) => { output += String(chunk) })
  child.stderr.on('data', (chunk) => { output += String(chunk) })
  const code = await new Promise<number | null>((resolve) => child.once('close', resolve))
  t.is(code, 0, output)
  t.true(output.trimEnd().endsWith('demo: ok'))
})
