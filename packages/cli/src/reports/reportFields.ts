/** Fields that the rows of each report have; layout files select columns from these. */
export const REPORT_FIELDS = {
  dataCentres: ['dataCentre', 'members', 'holding', 'share', 'versions', 'at'],
  lagging: ['daemon', 'dataCentre', 'version', 'reason'],
  refusals: ['version', 'changeId', 'author', 'at', 'count', 'daemons', 'reason'],
  moves: ['id', 'service', 'from', 'to', 'by', 'state', 'control', 'stage', 'share', 'reason', 'at'],
  history: ['version', 'at', 'author', 'changeId', 'count', 'objects'],
  timeline: ['at', 'daemon', 'type', 'what', 'service', 'move', 'version', 'cause', 'id']
} as const satisfies Record<string, readonly string[]>

export type ReportName = keyof typeof REPORT_FIELDS
export const REPORT_NAMES = Object.keys(REPORT_FIELDS) as [ReportName, ...ReportName[]]

export type Cell = string | number | undefined
/** One row of a report before it is formatted. */
export type Row<R extends ReportName = ReportName> = Partial<Record<typeof REPORT_FIELDS[R][number], Cell>>
