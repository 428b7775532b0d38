import { writeFileSync } from 'node:fs'
import { pagePath, PAGES, readPage, regeneratePage } from './pages.js'

// Writes the generated sections of the pages anew; run by `npm run docs`.
for (const name of PAGES) {
  const page = readPage(name)
  const wanted = regeneratePage(page)
  if (wanted !== page) writeFileSync(pagePath(name), wanted)
  console.log(`${name}: ${wanted === page ? 'unchanged' : 'written'}`)
}
