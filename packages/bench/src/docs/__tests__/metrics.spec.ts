import test from 'ava'
import { findMetrics, metricsInTable } from '../metricTable.js'
import { packagesDir, readPage } from '../pages.js'

/** Guards against a table of metrics with entries that no longer exist or that are missing. */
test('the table of metrics has the names, types and tags that the code sends', (t) => {
  const sent = findMetrics(packagesDir)
  t.true(sent.length >= 20)
  t.deepEqual(metricsInTable(readPage('operators.md')), sent)
})
