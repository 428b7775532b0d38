/** The known name with the smallest edit distance to a misspelt one, if it is close enough to be the intended name. */
export function nearestName (wrong: string, known: Iterable<string>): string | undefined {
  let best: string | undefined
  let bestDistance = Math.max(2, Math.floor(wrong.length / 3)) + 1
  for (const candidate of known) {
    if (Math.abs(candidate.length - wrong.length) >= bestDistance) continue
    const distance = editDistance(wrong.toLowerCase(), candidate.toLowerCase())
    if (distance < bestDistance) {
      best = candidate
      bestDistance = distance
    }
  }
  return best
}

/** Error message suffix `; did you mean "x"?`, or empty text if no known name is close. */
export function suggestion (wrong: string, known: Iterable<string>): string {
  const nearest = nearestName(wrong, known)
  return nearest === undefined ? '' : `; did you mean "${nearest}"?`
}

/** Levenshtein distance. */
function editDistance (a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, i) => i)
  for (let i = 1; i <= a.length; i++) {
    const row = [i]
    for (let j = 1; j <= b.length; j++) {
      const substitution = previous[j - 1]! + (a[i - 1] === b[j - 1] ? 0 : 1)
      row.push(Math.min(previous[j]! + 1, row[j - 1]! + 1, substitution))
    }
    previous = row
  }
  return previous[b.length]!
}
