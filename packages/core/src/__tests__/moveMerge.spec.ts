import test from 'ava'
import fc from 'fast-check'
import { MOVE_OUTCOMES, type MoveFact, type MoveFacts } from '../moveFacts.js'
import { mergeMoveFact } from '../moveMerge.js'

const smallInt = fc.integer({ min: 0, max: 3 })
const text = fc.constantFrom('a', 'b')
const fact: fc.Arbitrary<MoveFact> = fc.oneof(
  fc.record({ kind: fc.constant('stage' as const), move: fc.constant('m'), stage: smallInt, share: smallInt, at: smallInt }),
  fc.record({ kind: fc.constant('rollback' as const), move: fc.constant('m'), reason: text, at: smallInt, daemon: text }),
  fc.record({
    kind: fc.constant('outcome' as const), move: fc.constant('m'), outcome: fc.constantFrom(...MOVE_OUTCOMES), reason: text, at: smallInt
  })
)

const merged = (facts: readonly MoveFact[]): MoveFacts => facts.reduce(mergeMoveFact, {})

/** Guards against daemons that disagree on a move because they received the same facts in different order. */
test('facts merge to the same result in any order and when repeated', (t) => {
  const orders = fc.array(fact, { maxLength: 12 }).chain((facts) =>
    fc.tuple(fc.constant(facts), fc.shuffledSubarray([...facts, ...facts], { minLength: facts.length * 2 })))
  fc.assert(fc.property(orders, ([facts, shuffled]) => {
    t.deepEqual(merged(shuffled), merged(facts))
  }), { seed: 7, numRuns: 500 })
})

/** Guards against a coordinator that was suspended, resumes and advances a move that was rolled back meanwhile. */
test('no fact removes a rollback, replaces the outcome takenBack or lowers the stage', (t) => {
  fc.assert(fc.property(fc.array(fact), fact, (facts, next) => {
    const before = merged(facts)
    const after = mergeMoveFact(before, next)
    t.false(before.rollback !== undefined && after.rollback === undefined)
    t.false(before.outcome?.outcome === 'takenBack' && after.outcome?.outcome !== 'takenBack')
    t.true((after.stage?.stage ?? -1) >= (before.stage?.stage ?? -1))
  }), { seed: 8, numRuns: 500 })
})
