import test from 'ava'
import { SlotUsage } from '../slotUsage.js'

test('guards against a wrong estimate of the slots that more urgent requests hold', (t) => {
  const usage = new SlotUsage()
  for (let now = 0; now < 4_000; now += 50) {
    usage.add(-1, 150, now)
    usage.add(1, 50, now)
  }
  const assertClose = (slots: number, expected: number): void => { t.true(Math.abs(slots - expected) < 0.3, `${slots} instead of ${expected}`) }
  assertClose(usage.slotsOfMoreUrgent(1, 4_000), 3)
  assertClose(usage.slotsOfMoreUrgent(2, 4_000), 4)
  t.is(usage.slotsOfMoreUrgent(-1, 4_000), 0)
  t.true(usage.slotsOfMoreUrgent(1, 8_000) < 0.1)
})
