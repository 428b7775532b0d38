import test from 'ava'
import { RouteDependencies } from '../routeDependencies.js'

test('guards against rare calls counting as a dependency of a route, and against dependencies outliving a change of the route', (t) => {
  const dependencies = new RouteDependencies()
  t.deepEqual(dependencies.servicesOf('browse'), [])
  for (let i = 0; i < 100; i++) {
    dependencies.recordRun('browse')
    dependencies.recordCall('browse', 'stock')
    if (i % 10 === 0) dependencies.recordCall('browse', 'rare')
  }
  t.deepEqual(dependencies.servicesOf('browse'), ['stock'])
  t.deepEqual(dependencies.servicesOf('other'), [])
  for (let i = 0; i < 1_500; i++) dependencies.recordRun('browse')
  t.deepEqual(dependencies.servicesOf('browse'), [])
})
