import test from 'ava'
import { checkConfig } from '@lentilwheel/config'
import { buildRouter } from '../router.js'

const router = buildRouter(checkConfig({
  services: { a: { versions: ['v1'], current: 'v1', timeout: '3s' } },
  routes: {
    exact: { service: 'a', path: '/x' },
    exactPost: { service: 'a', path: '/x', methods: ['POST'], idempotent: true, timeout: '1s' },
    hosted: { service: 'a', path: '/x', host: 'Shop.example' },
    headed: { service: 'a', path: '/x', headers: { 'X-Kind': 'b' } },
    short: { service: 'a', path: '/x/*' },
    long: { service: 'a', path: '/x/y/*' }
  }
}))

/** Guards the precedence of routes: exact path, longer prefix, then more conditions. */
test('the most specific route wins', (t) => {
  const name = (method: string, host: string, path: string, headers = {}): string | undefined =>
    router.match(method, host, path, headers)?.name
  t.is(name('GET', '', '/x'), 'exact')
  t.is(name('POST', '', '/x'), 'exactPost')
  t.is(name('GET', 'shop.example', '/x'), 'hosted')
  t.is(name('POST', 'shop.example', '/x', { 'x-kind': 'b' }), 'headed')
  t.is(name('GET', '', '/x/'), 'short')
  t.is(name('GET', '', '/x/y/z'), 'long')
  t.is(name('GET', '', '/'), undefined)
})

/** Guards against a route whose own idempotency or timeout is overridden by the method's or the service's default. */
test('idempotency and timeouts are resolved per route', (t) => {
  const post = router.match('POST', '', '/x', {})!
  const get = router.match('GET', '', '/x', {})!
  t.true(post.idempotentMethods.has('POST') && get.idempotentMethods.has('GET'))
  t.false(get.idempotentMethods.has('POST'))
  t.deepEqual([post.timeoutMs, get.timeoutMs], [1_000, 3_000])
})
