import type { HttpPlatformClient } from '@lentilwheel/platform'
import type { FakePlatformServer } from '@lentilwheel/testkit'
import { applyConfig, fleetConfig, type AcceptedChange } from '../fleet/changes.js'
import type { DaemonFleet } from '../fleet/daemonFleet.js'
import { sleep } from '../processes.js'

/** What a fault acts on. */
export interface FaultContext {
  fleet: DaemonFleet
  platform: FakePlatformServer
  client: HttpPlatformClient
  /** Publishes another configuration change. */
  applyChange (): Promise<AcceptedChange>
}

/** A fault of the recovery bench. */
export interface Fault {
  name: string
  /**
   * Injects the fault and resolves when the processes run again or the platform is available, with the version that
   * every daemon must then apply.
   */
  inject (ctx: FaultContext): Promise<{ version: number }>
}

/** Services in the configuration of the recovery bench. */
export const SERVICE_COUNT = 150
const OUTAGE_MS = 10_000
const APPLY_TIMEOUT_MS = 60_000

/** Returns a function that publishes a new configuration on each call; each differs from the one before. */
export function createChangeApplier (client: HttpPlatformClient): () => Promise<AcceptedChange> {
  const revisions = new Map<number, number>()
  let count = 0
  return async () => {
    count++
    revisions.set(1, count)
    return await applyConfig(client, fleetConfig(SERVICE_COUNT, revisions), `recovery-${count}`)
  }
}

/** Kills the daemons at once and starts them again. */
async function restartAll (ctx: FaultContext, indexes: readonly number[]): Promise<void> {
  await Promise.all(indexes.map(async (index) => await ctx.fleet.kill(index)))
  for (const index of indexes) ctx.fleet.restart(index)
}

async function relayIndexes (fleet: DaemonFleet): Promise<number[]> {
  const statuses = await fleet.statuses()
  return statuses.flatMap((status, i) => (status?.relay ? [i] : []))
}

function allIndexes (fleet: DaemonFleet): number[] {
  return fleet.daemons.map((_, i) => i)
}

/** The faults in the order in which the bench injects them; their names appear in the result. */
export const FAULTS: readonly Fault[] = [
  {
    name: 'relaysKilled',
    async inject (ctx) {
      const relays = await relayIndexes(ctx.fleet)
      await restartAll(ctx, relays)
      const { version } = await ctx.applyChange()
      await ctx.fleet.waitHealthy(relays)
      return { version }
    }
  },
  {
    name: 'halfRestarted',
    async inject (ctx) {
      const half = allIndexes(ctx.fleet).filter((i) => i % 2 === 1)
      await restartAll(ctx, half)
      const { version } = await ctx.applyChange()
      await ctx.fleet.waitHealthy(half)
      return { version }
    }
  },
  {
    name: 'platformDown',
    async inject (ctx) {
      ctx.platform.mode = 'down'
      await sleep(OUTAGE_MS)
      ctx.platform.mode = 'up'
      return await ctx.applyChange()
    }
  },
  {
    name: 'platformSlow',
    async inject (ctx) {
      ctx.platform.mode = 'slow'
      const change = await ctx.applyChange()
      await sleep(OUTAGE_MS)
      ctx.platform.mode = 'up'
      return change
    }
  },
  {
    name: 'allRestartedPlatformUp',
    async inject (ctx) {
      await restartAll(ctx, allIndexes(ctx.fleet))
      const { version } = await ctx.applyChange()
      await ctx.fleet.waitHealthy(allIndexes(ctx.fleet))
      return { version }
    }
  },
  {
    name: 'allRestartedInTurnPlatformDown',
    async inject (ctx) {
      const { version } = await ctx.applyChange()
      await ctx.fleet.waitForVersion(version, APPLY_TIMEOUT_MS)
      ctx.platform.mode = 'down'
      const indexes = allIndexes(ctx.fleet)
      const batchSize = Math.max(1, Math.floor(indexes.length / 10))
      for (let i = 0; i < indexes.length; i += batchSize) {
        const batch = indexes.slice(i, i + batchSize)
        await restartAll(ctx, batch)
        await ctx.fleet.waitHealthy(batch)
        if (i + batchSize < indexes.length) await ctx.fleet.waitForVersion(version, APPLY_TIMEOUT_MS)
      }
      return { version }
    }
  }
]
