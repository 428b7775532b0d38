/** Runs a decision generator to its end and hands each effect to the handler, in order. */
export function runEffects<E, R> (decision: Generator<E, R, void>, handle: (effect: E) => void): R {
  for (;;) {
    const step = decision.next()
    if (step.done) return step.value
    handle(step.value)
  }
}

/** Collects the effects of a decision; used by tests. */
export function collectEffects<E> (decision: Generator<E, unknown, void>): E[] {
  const effects: E[] = []
  runEffects(decision, (effect) => effects.push(effect))
  return effects
}
