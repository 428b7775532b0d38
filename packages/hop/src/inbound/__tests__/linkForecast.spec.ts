import test from 'ava'
import { VirtualTimers } from '@lentilwheel/core'
import { SendQueue, type Transfer } from '../../link/sendQueue.js'
import { ResponseSizes } from '../../outbound/responseSizes.js'
import { LinkForecast } from '../linkForecast.js'

const BYTES_PER_MS = 1_000

function setUp () {
  const queue = new SendQueue({ timers: new VirtualTimers(), bytesPerMs: BYTES_PER_MS })
  const sizes = new ResponseSizes()
  const forecast = new LinkForecast(queue, sizes)
  sizes.record('long', 100_000)
  sizes.record('huge', 2_000_000)
  sizes.record('short', 500)
  const wait = (bytes: number, isConnectionBlocked = false): void => {
    const transfer: Transfer = { urgency: 1, remaining: bytes, isBlocked: () => isConnectionBlocked, write: () => 0 }
    queue.submit(transfer)
  }
  return { queue, forecast, wait }
}

test('guards against answers too long for their target latency being refused on an idle link', (t) => {
  const { forecast } = setUp()
  t.is(forecast.deliveryMs('huge'), 0)
})

test('guards against requests being refused because callers read slowly while the link is idle', (t) => {
  const { forecast, wait } = setUp()
  wait(1_000_000, true)
  t.is(forecast.aheadMs, 0)
})

test('guards against the answers of running requests being left out of the forecast, and against their staying in it', (t) => {
  const { forecast } = setUp()
  const ends = [1, 2, 3].map(() => forecast.start('long'))
  t.true(forecast.aheadMs >= 300 && forecast.deliveryMs('long') >= 500, `${forecast.aheadMs}`)
  t.is(forecast.deliveryMs('short'), 0, 'it goes before the long ones')
  for (const end of ends) {
    end()
    end()
  }
  t.is(forecast.aheadMs, 0)
})
