import test from 'ava'
import fc from 'fast-check'
import { MOVE_OUTCOMES, type MoveFact, type MoveFacts } from '../moveFacts.js'
import { mergeMoveFact } from '../moveMerge.js'

const small = fc.integer({ min: 0, max: 3 })
const text = fc.constantFrom('a', 'b')
const fact: fc.Arbitrary<MoveFact> = fc.oneof(
  fc.record({ kind: fc.constant('stage' as const), move: fc.constant('m'), stage: small, share: small, at: small }),
  fc.record({ kind: fc.constant('rollback' as const), move: fc.constant('m'), reason: text, at: small, daemon: text }),
  fc.record({
    kind: fc.constant('outcome' as const), move: fc.constant('m'), outcome: fc.constantFrom(...MOVE_OUTCOMES), reason: text, at: small
  })
)

const merged = (facts: readonly MoveFact[]): MoveFacts => facts.reduce(mergeMoveFact, {})

/** Guards against daemons that hold different facts after the mesh delivered the same ones in another order. */
test('facts merge to the same in any order and when repeated', (t) => {
  const orders = fc.array(fact, { maxLength: 12 }).chain((facts) =>
    fc.tuple(fc.constant(facts), fc.shuffledSubarray([...facts, ...facts], { minLength: facts.length * 2 })))
  fc.assert(fc.property(orders, ([facts, shuffled]) => {
    t.deepEqual(merged(shuffled), merged(facts))
  }), { seed: 7, numRuns: 500 })
})

/** Guards against a paused coordinator that pushes a move on after its rollback. */
test('nothing removes a rollback or replaces the outcome takenBack', (t) => {
  fc.assert(fc.property(fc.array(fact), fact, (facts, next) => {
    const before = merged(facts)
    const after = mergeMoveFact(before, next)
    t.false(before.rollback !== undefined && after.rollback === undefined)
    t.false(before.outcome?.outcome === 'takenBack' && after.outcome?.outcome !== 'takenBack')
    t.true((after.stage?.stage ?? -1) >= (before.stage?.stage ?? -1))
  }), { seed: 8, numRuns: 500 })
})
