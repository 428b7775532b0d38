import type { Cancel } from '@lentilwheel/core'
import { INDIRECT_PROBES, PROBE_PERIOD_MS, PROBE_TIMEOUT_MS } from '../constants.js'
import type { MeshContext } from '../context.js'
import type { Datagram } from '../gen/mesh_pb.js'
import { parseAddress, ipToNumber, meshAddress, type MeshAddress } from '../wire/address.js'
import { relaysToProbe } from '../relay/election.js'
import { ProbeOrder, pickReachable, pickUnreachable } from './probeSelection.js'
import type { Member } from './memberTable.js'

/**
 * Failure detector: in each period, probes the next member of the round and the relays that `relaysToProbe` names,
 * directly and then through other members, and pings one of the members that this daemon could not reach.
 */
export class Prober {
  readonly #ctx: MeshContext
  readonly #order: ProbeOrder
  readonly #onFailed: (member: Member) => void
  #cancel: Cancel = () => {}

  constructor (ctx: MeshContext, onFailed: (member: Member) => void) {
    this.#ctx = ctx
    this.#order = new ProbeOrder(ctx.opts.random)
    this.#onFailed = onFailed
  }

  start (): void {
    this.#cancel = this.#ctx.opts.timers.every(PROBE_PERIOD_MS, () => this.#tick(), { jitter: 0.1 })
  }

  stop (): void {
    this.#cancel()
  }

  /** Pings a member on behalf of the requester and acknowledges the request if the member answered. */
  async probeFor (requester: MeshAddress, datagram: Datagram): Promise<void> {
    if (datagram.body.case !== 'pingReq') return
    const { address, port } = datagram.body.value
    if (await this.#ping(meshAddress(address, port))) this.#ctx.messenger.ack(requester, datagram.seq)
  }

  #tick (): void {
    const { table, opts } = this.#ctx
    const next = this.#order.next(table)
    const due = new Set(next ? [next] : [])
    for (const relay of relaysToProbe(table)) {
      const member = table.get(relay.id)
      if (member) due.add(member)
    }
    for (const member of due) this.#ctx.runInBackground(this.#probe(member))
    const unreachable = pickUnreachable(table, opts.random)
    if (unreachable && !due.has(unreachable)) this.#ctx.runInBackground(this.#ping(unreachable.address))
  }

  /** Reports the member as failed if no probe is answered, unless its record changed meanwhile. */
  async #probe (member: Member): Promise<void> {
    if (await this.#ping(member.address, member.record.id)) return
    if (await this.#probeIndirectly(member)) return
    const { table } = this.#ctx
    const current = table.get(member.record.id)
    if (this.#ctx.isStopped() || current !== member) return
    this.#onFailed(member)
  }

  async #ping (address: MeshAddress, id?: string): Promise<boolean> {
    const header = await this.#ctx.messenger.request(address, { case: 'ping', value: {} }, PROBE_TIMEOUT_MS)
    return header !== undefined && (id === undefined || header.from === id)
  }

  async #probeIndirectly (member: Member): Promise<boolean> {
    const { table, opts, messenger } = this.#ctx
    const helpers = pickReachable(table, opts.random, INDIRECT_PROBES, (helper) => helper !== member)
    const { ip, port } = parseAddress(member.address)
    const body = { case: 'pingReq', value: { address: ipToNumber(ip), port } } as const
    const timeoutMs = PROBE_PERIOD_MS - PROBE_TIMEOUT_MS
    const answers = await Promise.all(helpers.map(async (helper) => {
      return await messenger.request(helper.address, body, timeoutMs)
    }))
    return answers.some((header) => header !== undefined)
  }
}
