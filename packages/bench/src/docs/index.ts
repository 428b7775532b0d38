import { writeFileSync } from 'node:fs'
import { pagePath, PAGES, readPage, regeneratePage } from './pages.js'

// Regenerates the generated sections of the documentation pages; run by `npm run docs`.
for (const name of PAGES) {
  const page = readPage(name)
  const regenerated = regeneratePage(page)
  if (regenerated !== page) writeFileSync(pagePath(name), regenerated)
  console.log(`${name}: ${regenerated === page ? 'unchanged' : 'written'}`)
}
