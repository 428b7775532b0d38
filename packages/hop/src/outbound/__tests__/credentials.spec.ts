import test from 'ava'
import { keyHash } from '@lentilwheel/core'
import { readCredentials, withoutCredentials } from '../credentials.js'

const cases: [name: string, headers: string[], expected: ReturnType<typeof readCredentials>][] = [
  ['a key', ['Host', 'h', 'Authorization', 'Bearer k-1'], { kind: 'key', hash: keyHash('k-1') }],
  ['another case of the header and the scheme', ['aUTHORIZATION', 'bEARER k-1'], { kind: 'key', hash: keyHash('k-1') }],
  ['several spaces', ['authorization', 'Bearer   k-1'], { kind: 'key', hash: keyHash('k-1') }],
  ['no header', ['Host', 'h', 'X-Note', 'authorization', 'Proxy-Authorization', 'Bearer k'], { kind: 'none' }],
  ['an empty value', ['Authorization', ''], { kind: 'malformed' }],
  ['no key', ['Authorization', 'Bearer'], { kind: 'malformed' }],
  ['no scheme', ['Authorization', 'k-1'], { kind: 'malformed' }],
  ['another scheme', ['Authorization', 'Basic k-1'], { kind: 'malformed' }],
  ['a scheme that begins alike', ['Authorization', 'Bearers k-1'], { kind: 'malformed' }],
  ['two keys', ['Authorization', 'Bearer k-1 k-2'], { kind: 'malformed' }],
  ['two headers', ['Authorization', 'Bearer k-1', 'authorization', 'Bearer k-1'], { kind: 'malformed' }]
]
for (const [name, headers, expected] of cases) {
  test(`guards the reading of a caller's key: ${name}`, (t) => {
    t.deepEqual(readCredentials(headers), expected)
  })
}

test('guards against a key being passed on, and against other headers being lost with it', (t) => {
  const headers = ['Host', 'h', 'AUTHORIZATION', 'Bearer k', 'X-A', 'authorization', 'authorization', 'Basic b', 'X-B', '2']
  t.deepEqual(withoutCredentials(headers), ['Host', 'h', 'X-A', 'authorization', 'X-B', '2'])
})
