import type { EvidenceReport } from '@lentilwheel/core'
import { MAX_DATAGRAM_BYTES } from '../constants.js'
import type { MeshContext } from '../context.js'
import { MeshService } from '../gen/mesh_pb.js'
import { coordinatorOf } from '../relay/election.js'
import { evidenceToWire } from '../wire/codec.js'

/**
 * Sends evidence to the coordinator of its move, in datagrams if it fits. A lost report costs a second of evidence and
 * introduces no bias, so it is not sent again.
 */
export function sendEvidence (ctx: MeshContext, report: EvidenceReport, deliver: (report: EvidenceReport) => void): void {
  const { table, messenger } = ctx
  const coordinator = coordinatorOf(table, report.move)
  if (coordinator === table.self.id) return deliver(report)
  const member = table.get(coordinator)
  if (!member) return
  for (const part of splitReport(ctx, report)) {
    const evidence = evidenceToWire(part)
    const body = { case: 'evidence', value: evidence } as const
    if (messenger.datagramSize(body) <= MAX_DATAGRAM_BYTES) messenger.send(member.address, body)
    else ctx.runInBackground(messenger.call(member.address, MeshService.method.reportEvidence, { evidence }))
  }
}

/** Splits a report in halves until the parts fit into datagrams; a single row that is too large is sent by call. */
function splitReport (ctx: MeshContext, report: EvidenceReport): EvidenceReport[] {
  const size = ctx.messenger.datagramSize({ case: 'evidence', value: evidenceToWire(report) })
  if (size <= MAX_DATAGRAM_BYTES || report.rows.length <= 1) return [report]
  const half = Math.ceil(report.rows.length / 2)
  const parts = [report.rows.slice(0, half), report.rows.slice(half)]
  return parts.flatMap((rows) => splitReport(ctx, { ...report, rows }))
}
