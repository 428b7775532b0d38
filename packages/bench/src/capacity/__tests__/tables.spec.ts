import test from 'ava'
import { fitLine, predict, sizeAtLimit } from '../fit.js'
import { capacityTable } from '../tables.js'

test('a line through exact points has no error', (t) => {
  const fit = fitLine([{ x: 15, y: 45 }, { x: 30, y: 75 }, { x: 60, y: 135 }])
  t.deepEqual(fit, { intercept: 15, slope: 2, maxResidual: 0 })
  t.is(predict(fit, 3_000, 60), 6_015)
  t.is(sizeAtLimit(fit, 1_015), 500)
})

/** Guards against a random fall between two small fleets that would predict a negative value for 3,000 daemons. */
test('a falling line is not extrapolated beyond the measured points', (t) => {
  const fit = fitLine([{ x: 10, y: 20 }, { x: 20, y: 10 }])
  t.is(predict(fit, 3_000, 20), 10)
  t.is(sizeAtLimit(fit, 100), Infinity)
})

test('the table shows measured values, the fit and the limit', (t) => {
  const runs = [15, 30, 60].map((daemons) => ({ daemons, result: { p99Ms: 100 + daemons } }))
  const read = (result: Record<string, unknown>) => result['p99Ms'] as number
  t.snapshot(capacityTable([
    { title: 'change in force, p99', unit: 'ms', read, limit: 17_000 },
    { title: 'not measured', unit: 'ms', read: () => undefined }
  ], runs))
})
