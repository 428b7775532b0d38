import test from 'ava'
import { SlotUse } from '../slotUse.js'

test('guards against the slots that more urgent requests use being misjudged', (t) => {
  const use = new SlotUse()
  for (let now = 0; now < 4_000; now += 50) {
    use.add(-1, 150, now)
    use.add(1, 50, now)
  }
  const near = (slots: number, wanted: number): void => { t.true(Math.abs(slots - wanted) < 0.3, `${slots} instead of ${wanted}`) }
  near(use.before(1, 4_000), 3)
  near(use.before(2, 4_000), 4)
  t.is(use.before(-1, 4_000), 0)
  t.true(use.before(1, 8_000) < 0.1)
})
