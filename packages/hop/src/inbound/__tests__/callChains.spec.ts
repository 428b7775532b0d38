import test from 'ava'
import { CallChains } from '../callChains.js'

test('guards against rare calls making a route need a service, and against changed routes keeping old needs', (t) => {
  const chains = new CallChains()
  t.deepEqual(chains.needs('browse'), [])
  for (let i = 0; i < 100; i++) {
    chains.ran('browse')
    chains.called('browse', 'stock')
    if (i % 10 === 0) chains.called('browse', 'rare')
  }
  t.deepEqual(chains.needs('browse'), ['stock'])
  t.deepEqual(chains.needs('other'), [])
  for (let i = 0; i < 1_500; i++) chains.ran('browse')
  t.deepEqual(chains.needs('browse'), [])
})
