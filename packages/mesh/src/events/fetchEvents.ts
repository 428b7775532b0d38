import { compareEvents, type TimelineEvent } from '@lentilwheel/core'
import type { Account } from '@lentilwheel/platform'
import type { MeshContext } from '../context.js'
import { MeshMemberUnknown } from '../errors.js'
import { MeshService } from '../gen/mesh_pb.js'
import { relayRecipients } from '../relay/election.js'
import { meshAddress, type MeshAddress } from '../wire/address.js'
import { unpack } from '../wire/packed.js'

/** Daemons asked concurrently when the events of all are fetched. */
const CONCURRENT_FETCHES = 16

/** Fetches the events of one daemon, or of all daemons that answer, ordered by time. */
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
  await Promise.all(Array.from({ length: CONCURRENT_FETCHES }, worker))
  return events.sort(compareEvents)
}

async function fetchFrom (ctx: MeshContext, address: MeshAddress): Promise<TimelineEvent[]> {
  const res = await ctx.messenger.call(address, MeshService.method.fetchEvents, {})
  const bytes = unpack(res.events)
  return bytes ? JSON.parse(new TextDecoder().decode(bytes)) as TimelineEvent[] : []
}

/** Fetches the account of each data centre from one of its relays; data centres whose relays don't answer are left out. */
export async function fetchAccounts (ctx: MeshContext, own: () => Account | undefined): Promise<Account[]> {
  const { table } = ctx
  const dataCentres = new Set([table.self, ...table.members().map((member) => member.record)].map((record) => record.dataCentre))
  const accounts = await Promise.all([...dataCentres].map(async (dataCentre) => {
    for (const record of relayRecipients(table, dataCentre)) {
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
