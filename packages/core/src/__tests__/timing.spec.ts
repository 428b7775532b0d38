import test from 'ava'
import { backoffMs } from '../backoff.js'
import { SeededRandom, shuffled } from '../random.js'
import { TokenBucket } from '../tokenBucket.js'
import { VirtualTimers } from '../virtualTimers.js'

test('virtual timers fire in order of due time, then in the order in which they were set', (t) => {
  const timers = new VirtualTimers()
  const fired: string[] = []
  timers.after(20, () => fired.push('b'))
  timers.after(10, () => fired.push('a'))
  timers.after(20, () => fired.push('c'))
  const cancel = timers.after(15, () => fired.push('cancelled'))
  const stop = timers.every(8, () => fired.push(`tick ${timers.now()}`))
  cancel()
  timers.advance(20)
  stop()
  timers.advance(100)
  t.deepEqual(fired, ['tick 8', 'a', 'tick 16', 'b', 'c'])
})

/** Guards against a bucket that fills without limit while idle and then allows an unlimited burst. */
test('a token bucket never has more than its burst', (t) => {
  const bucket = new TokenBucket({ perSecond: 10, burst: 2, now: 0 })
  t.true(bucket.tryTake(1_000_000, 2))
  t.false(bucket.tryTake(1_000_000))
  t.is(bucket.waitMs(1_000_000), 100)
  t.true(bucket.tryTake(1_000_100))
})

test('a clock that goes back adds no tokens', (t) => {
  const bucket = new TokenBucket({ perSecond: 10, burst: 1, now: 1_000 })
  t.true(bucket.tryTake(1_000))
  t.false(bucket.tryTake(0))
})

test('backoff doubles up to its cap, with jitter over half of the delay', (t) => {
  const random = new SeededRandom(1)
  for (let attempt = 0; attempt < 40; attempt++) {
    const maxDelay = Math.min(8_000, 100 * 2 ** attempt)
    const delay = backoffMs(attempt, { baseMs: 100, capMs: 8_000 }, random)
    t.true(delay >= maxDelay / 2 && delay <= maxDelay)
  }
})

test('random choices are reproducible from their seed', (t) => {
  const draw = (seed: number): string => shuffled(['a', 'b', 'c', 'd', 'e', 'f'], new SeededRandom(seed)).join('')
  t.is(draw(7), draw(7))
  t.is([...draw(7)].toSorted().join(''), 'abcdef')
  t.not(draw(7), draw(8))
})

test('guards against a token bucket whose limits are changed keeping more than its new burst, or losing what it gained before', (t) => {
  const bucket = new TokenBucket({ perSecond: 10, burst: 20, now: 0, tokens: 0 })
  bucket.setLimits(500, 1, 4)
  t.is(bucket.takeUpTo(500, 10), 4)
  bucket.setLimits(500, 10, 20)
  t.is(bucket.takeUpTo(750, 10), 2)
  t.is(bucket.takeAll(750), 0.5)
  t.is(bucket.waitMs(750), 100)
})
