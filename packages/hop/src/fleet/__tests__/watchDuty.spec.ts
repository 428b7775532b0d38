import test from 'ava'
import { VirtualTimers } from '@lentilwheel/core'
import { testHost } from '../../__tests__/fixtures.js'
import type { HostRecord } from '../hostRecord.js'
import { WatchDuty } from '../watchDuty.js'

const PER_GROUP = 2
const FORGET_MS = 10_000
const hosts = Array.from({ length: 12 }, (_, i) => testHost(`h${String(i).padStart(2, '0')}`, 'dc'))

/** Positions of the hosts that watch. */
function turns (duty: WatchDuty, groups: HostRecord[][]): Record<string, string> {
  const entries = groups.flat().flatMap((own) => {
    const turn = duty.turn(own, groups, PER_GROUP)
    return turn ? [[own.host, `${turn.position} of ${turn.watchers}`]] : []
  })
  return Object.fromEntries(entries)
}

const cases: [name: string, lost: string[]][] = [
  ['none is cut off', []],
  ['one watcher is cut off', ['h00']],
  ['both watchers are cut off', ['h00', 'h01']],
  ['watchers and their substitutes are cut off', ['h00', 'h01', 'h02', 'h03']],
  ['all are cut off', hosts.map(({ host }) => host)]
]
for (const [name, lost] of cases) {
  test(`guards against a group without a daemon that hears of changes, or with too many: ${name}`, (t) => {
    const duty = new WatchDuty(new VirtualTimers())
    for (const host of lost) duty.setStoreLost(host, true)
    t.snapshot(turns(duty, [hosts.toReversed()]))
  })
}

test('guards against daemons of several groups taking the same turn', (t) => {
  const groups = [hosts.slice(0, 4), hosts.slice(4, 5), hosts.slice(5)]
  t.snapshot(turns(new WatchDuty(new VirtualTimers()), groups))
})

test('guards against a daemon counting as cut off from the store for good', (t) => {
  const timers = new VirtualTimers()
  const duty = new WatchDuty(timers)
  t.true(duty.setStoreLost('h00', true))
  t.false(duty.setStoreLost('h00', true))
  timers.advance(FORGET_MS)
  t.false(duty.isStoreLost('h00'))
  duty.setStoreLost('h00', true)
  t.true(duty.setStoreLost('h00', false))
})
