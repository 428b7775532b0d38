import test from 'ava'
import { adviceFor } from '@lentilwheel/cli'
import { adviceInTable, findErrorClasses } from '../errorTable.js'
import { packagesDir, PAGES, readPage, regeneratePage } from '../pages.js'

for (const name of PAGES) {
  test(`generated sections of ${name} match the source (npm run docs)`, (t) => {
    const page = readPage(name)
    t.is(page, regeneratePage(page))
  })
}

/** Guards against errors that operators see and can't find in the documentation. */
test('every error code in the source has a row that says what to do', (t) => {
  const documented = adviceInTable(readPage('errors.md'))
  const codes = findErrorClasses(packagesDir).map(({ code }) => code)
  t.deepEqual([...documented.keys()].sort(), [...new Set(codes)].sort())
  t.deepEqual([...documented].filter(([, advice]) => advice === '').map(([code]) => code), [])
  t.true(codes.length >= 20)
  t.is(codes.length, new Set(codes).size, 'a code names one class')
  for (const code of codes.filter((candidate) => candidate.startsWith('platform-'))) t.truthy(adviceFor(code), code)
})
