/**
 * Runs a generator that decides without side effects and yields the effects to perform. Each effect goes to the handler
 * before the generator resumes. Returns the generator's result.
 */
export function runEffects<E, R> (decision: Generator<E, R, void>, handle: (effect: E) => void): R {
  for (;;) {
    const step = decision.next()
    if (step.done) return step.value
    handle(step.value)
  }
}

/** Collects the effects of a decision generator, for tests. */
export function collectEffects<E> (decision: Generator<E, unknown, void>): E[] {
  const effects: E[] = []
  runEffects(decision, (effect) => effects.push(effect))
  return effects
}
