import { compareEvents, type TimelineEvent } from '@lentilwheel/core'
import type { Account } from '@lentilwheel/platform'
import type { MeshContext } from '../context.js'
import { MeshMemberUnknown } from '../errors.js'
import { MeshService } from '../gen/mesh_pb.js'
import { relayAddressees } from '../relay/election.js'
import { meshAddress, type MeshAddress } from '../wire/address.js'
import { unpack } from '../wire/packed.js'

/** Daemons asked at a time when the events of all are fetched. */
const FETCHES_AT_ONCE = 16

export async function fetchEvents (ctx: MeshContext, daemon: string | undefined): Promise<TimelineEvent[]> {
  const { table, opts } = ctx
  if (daemon === undefined) return await fetchAllEvents(ctx)
  if (daemon === table.self.id) return opts.events.since(0)
  const member = table.get(daemon)
  if (!member) throw new MeshMemberUnknown(`no daemon "${daemon}" is known`)
  return await fetchFrom(ctx, member.address)
}

async function fetchAllEvents (ctx: MeshContext): Promise<TimelineEvent[]> {
  const queue = ctx.table.members().map((member) => member.address)
  const events = ctx.opts.events.since(0)
  const worker = async (): Promise<void> => {
    for (let address = queue.pop(); address !== undefined; address = queue.pop()) {
      events.push(...await fetchFrom(ctx, address).catch(() => []))
    }
  }
  await Promise.all(Array.from({ length: FETCHES_AT_ONCE }, worker))
  return events.sort(compareEvents)
}

async function fetchFrom (ctx: MeshContext, address: MeshAddress): Promise<TimelineEvent[]> {
  const res = await ctx.messenger.call(address, MeshService.method.fetchEvents, {})
  const bytes = unpack(res.events)
  return bytes ? JSON.parse(new TextDecoder().decode(bytes)) as TimelineEvent[] : []
}

/** Asks a relay of each data centre for its account; a data centre whose relays don't answer is left out. */
export async function fetchAccounts (ctx: MeshContext, own: () => Account | undefined): Promise<Account[]> {
  const { table } = ctx
  const dataCentres = new Set([table.self, ...table.members().map((member) => member.record)].map((record) => record.dataCentre))
  const accounts = await Promise.all([...dataCentres].map(async (dataCentre) => {
    for (const record of relayAddressees(table, dataCentre)) {
      const account = record.id === table.self.id
        ? own()
        : await fetchAccount(ctx, meshAddress(record.address, record.meshPort)).catch(() => undefined)
      if (account) return account
    }
    return undefined
  }))
  return accounts.filter((account) => account !== undefined)
}

async function fetchAccount (ctx: MeshContext, address: MeshAddress): Promise<Account | undefined> {
  const res = await ctx.messenger.call(address, MeshService.method.fetchAccount, {})
  const bytes = unpack(res.account)
  return bytes ? JSON.parse(new TextDecoder().decode(bytes)) as Account : undefined
}
