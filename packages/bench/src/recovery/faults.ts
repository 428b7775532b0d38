import type { HttpPlatformClient } from '@lentilwheel/platform'
import type { PlatformServer } from '@lentilwheel/testkit'
import { applyConfig, fleetConfig, type AcceptedChange } from '../fleet/changes.js'
import type { Fleet } from '../fleet/fleet.js'
import { sleep } from '../processes.js'

export interface FaultContext {
  fleet: Fleet
  platform: PlatformServer
  client: HttpPlatformClient
  /** Has one more change accepted. */
  change (): Promise<AcceptedChange>
}

/** A fault: what is done, and which version must then be in force everywhere. */
export interface Fault {
  name: string
  /** Resolves when the processes are up again or the platform is back, with the version that must come into force. */
  inflict (ctx: FaultContext): Promise<{ version: number }>
}

export const SERVICE_COUNT = 150
const OUTAGE_MS = 10_000
const IN_FORCE_LIMIT_MS = 60_000

/** Gives each change a content of its own. */
export function changeMaker (client: HttpPlatformClient): () => Promise<AcceptedChange> {
  const revisions = new Map<number, number>()
  let count = 0
  return async () => {
    count++
    revisions.set(1, count)
    return await applyConfig(client, fleetConfig(SERVICE_COUNT, revisions), `recovery-${count}`)
  }
}

async function restartAll (ctx: FaultContext, indexes: readonly number[]): Promise<void> {
  await Promise.all(indexes.map(async (index) => await ctx.fleet.kill(index)))
  for (const index of indexes) ctx.fleet.restart(index)
}

async function relayIndexes (fleet: Fleet): Promise<number[]> {
  const statuses = await fleet.statuses()
  return statuses.flatMap((status, i) => (status?.relay ? [i] : []))
}

function allIndexes (fleet: Fleet): number[] {
  return fleet.daemons.map((_, i) => i)
}

export const FAULTS: readonly Fault[] = [
  {
    name: 'relaysKilled',
    async inflict (ctx) {
      const relays = await relayIndexes(ctx.fleet)
      await restartAll(ctx, relays)
      const { version } = await ctx.change()
      await ctx.fleet.waitUp(relays)
      return { version }
    }
  },
  {
    name: 'halfRestarted',
    async inflict (ctx) {
      const half = allIndexes(ctx.fleet).filter((i) => i % 2 === 1)
      await restartAll(ctx, half)
      const { version } = await ctx.change()
      await ctx.fleet.waitUp(half)
      return { version }
    }
  },
  {
    name: 'platformDown',
    async inflict (ctx) {
      ctx.platform.mode = 'down'
      await sleep(OUTAGE_MS)
      ctx.platform.mode = 'up'
      return await ctx.change()
    }
  },
  {
    name: 'platformSlow',
    async inflict (ctx) {
      ctx.platform.mode = 'slow'
      const change = await ctx.change()
      await sleep(OUTAGE_MS)
      ctx.platform.mode = 'up'
      return change
    }
  },
  {
    name: 'allRestartedPlatformUp',
    async inflict (ctx) {
      await restartAll(ctx, allIndexes(ctx.fleet))
      const { version } = await ctx.change()
      await ctx.fleet.waitUp(allIndexes(ctx.fleet))
      return { version }
    }
  },
  {
    name: 'allRestartedInTurnPlatformDown',
    async inflict (ctx) {
      const { version } = await ctx.change()
      await ctx.fleet.waitInForce(version, IN_FORCE_LIMIT_MS)
      ctx.platform.mode = 'down'
      const indexes = allIndexes(ctx.fleet)
      const batch = Math.max(1, Math.floor(indexes.length / 10))
      for (let i = 0; i < indexes.length; i += batch) {
        const part = indexes.slice(i, i + batch)
        await restartAll(ctx, part)
        await ctx.fleet.waitUp(part)
        if (i + batch < indexes.length) await ctx.fleet.waitInForce(version, IN_FORCE_LIMIT_MS)
      }
      return { version }
    }
  }
]
