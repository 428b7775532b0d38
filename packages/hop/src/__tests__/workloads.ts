/** A class of requests in a workload. */
export interface RequestClass {
  name: string
  service: string
  idempotent: boolean
  bulky?: boolean
  /** Requests per second over all data centres; 0 for nested calls, which only targets make. */
  ratePerS: number
  workMs: number
  /** How much the work of single requests differs; see `DEFAULT_WORK_VARIATION`. */
  workVariation?: WorkVariation
  targetLatencyMs: number
  deadlineMs: number
  timeoutMs: number
  priority: number
  /** Value of a response to the caller within the target latency, and of a later one. */
  value: number
  lateValue: number
  retries: number
  /** Size of the request body and of the response body. */
  requestBytes?: number
  responseBytes?: number
  /** Nested calls that a target makes, one after the other, while it runs such a request; `share` of the requests make them. */
  calls?: { class: string, times: number, share: number }
}

/** Log-normal distribution of the work around `workMs`, and the share of requests that take `tailFactor` times as long. */
export interface WorkVariation {
  sigma: number
  tailShare: number
  tailFactor: number
  /** Whether `workMs` is the mean without the tail; otherwise it is the median. */
  isMean: boolean
}

export const DEFAULT_WORK_VARIATION: WorkVariation = { sigma: 0.35, tailShare: 0.01, tailFactor: 4, isMean: false }

/** The services, targets and requests of an installation. `speeds` are assigned to the targets of a service in turn. */
export interface Workload {
  dataCentres: string[]
  services: { name: string, targets: number, slots: number, speeds: number[] }[]
  classes: RequestClass[]
}

/** Workload of the wig atelier, with the rates of a busy day. */
export const ATELIER_WORKLOAD: Workload = {
  dataCentres: ['a', 'b', 'c', 'd'],
  services: ['showroom', 'orders', 'workroom'].map((name) => ({ name, targets: 4, slots: 6, speeds: [0.5, 1, 1, 1.5] })),
  classes: [
    { name: 'browse', service: 'showroom', idempotent: true, ratePerS: 57, workMs: 220, targetLatencyMs: 600, deadlineMs: 2_500, timeoutMs: 1_200, priority: 2, value: 1, lateValue: 0.3, retries: 1, calls: { class: 'stock', times: 2, share: 0.7 } },
    { name: 'order', service: 'orders', idempotent: false, ratePerS: 26.4, workMs: 290, targetLatencyMs: 800, deadlineMs: 3_000, timeoutMs: 1_500, priority: 1, value: 2, lateValue: 0.6, retries: 1, calls: { class: 'roster', times: 2, share: 0.7 } },
    { name: 'sheet', service: 'workroom', idempotent: true, bulky: true, ratePerS: 8, workMs: 180, targetLatencyMs: 600, deadlineMs: 2_500, timeoutMs: 1_200, priority: 2, value: 1, lateValue: 0.3, retries: 1 },
    { name: 'lookup', service: 'workroom', idempotent: true, ratePerS: 23.6, workMs: 88, targetLatencyMs: 300, deadlineMs: 1_200, timeoutMs: 600, priority: 1, value: 2, lateValue: 0.6, retries: 1 },
    { name: 'stock', service: 'orders', idempotent: true, ratePerS: 0, workMs: 55, targetLatencyMs: 200, deadlineMs: 600, timeoutMs: 600, priority: 1, value: 0, lateValue: 0, retries: 0 },
    { name: 'roster', service: 'workroom', idempotent: true, ratePerS: 0, workMs: 55, targetLatencyMs: 200, deadlineMs: 600, timeoutMs: 600, priority: 1, value: 0, lateValue: 0, retries: 0 }
  ]
}

/** Workload of the carvers' consortium, with the rates of a usual day. */
export const CARVERS_WORKLOAD: Workload = {
  dataCentres: ['a', 'b', 'c', 'd'],
  services: [
    { name: 'catalogue', targets: 6, slots: 12, speeds: [0.6, 1, 1.4] },
    { name: 'commissions', targets: 4, slots: 12, speeds: [0.6, 1, 1.4] },
    { name: 'archives', targets: 4, slots: 12, speeds: [0.7, 0.7, 1.6] }
  ],
  classes: [
    { name: 'browse', service: 'catalogue', idempotent: true, ratePerS: 466, workMs: 90, targetLatencyMs: 300, deadlineMs: 2_000, timeoutMs: 1_000, priority: 2, value: 1, lateValue: 0.5, retries: 2, calls: { class: 'stock', times: 2, share: 0.7 } },
    { name: 'deposit', service: 'commissions', idempotent: false, ratePerS: 120, workMs: 120, targetLatencyMs: 400, deadlineMs: 2_500, timeoutMs: 1_200, priority: 1, value: 2, lateValue: 1, retries: 2, calls: { class: 'rights', times: 2, share: 0.7 } },
    { name: 'download', service: 'archives', idempotent: true, bulky: true, ratePerS: 55.7, workMs: 72, targetLatencyMs: 300, deadlineMs: 2_000, timeoutMs: 1_000, priority: 2, value: 1, lateValue: 0.5, retries: 2 },
    { name: 'status', service: 'archives', idempotent: true, ratePerS: 97.8, workMs: 36, targetLatencyMs: 150, deadlineMs: 1_000, timeoutMs: 500, priority: 1, value: 2, lateValue: 1, retries: 2 },
    { name: 'stock', service: 'commissions', idempotent: true, ratePerS: 0, workMs: 22, targetLatencyMs: 100, deadlineMs: 250, timeoutMs: 250, priority: 1, value: 0, lateValue: 0, retries: 0 },
    { name: 'rights', service: 'archives', idempotent: true, ratePerS: 0, workMs: 22, targetLatencyMs: 100, deadlineMs: 250, timeoutMs: 250, priority: 1, value: 0, lateValue: 0, retries: 0 }
  ]
}

/** Workload of the carvers' consortium with many more hosts, most of them small, and archives whose files fill the links of their hosts. */
export const GROWN_CARVERS_WORKLOAD: Workload = {
  dataCentres: ['a', 'b', 'c', 'd', 'e'],
  services: [
    { name: 'catalogue', targets: 36, slots: 8, speeds: [0.6, 1, 1.4] },
    { name: 'commissions', targets: 19, slots: 8, speeds: [0.5, 1, 1, 1.5] },
    { name: 'archives', targets: 7, slots: 8, speeds: [0.6, 1, 1.4] }
  ],
  classes: [
    { name: 'browse', service: 'catalogue', idempotent: true, ratePerS: 487, workMs: 229, targetLatencyMs: 843, deadlineMs: 5_272, timeoutMs: 2_500, priority: 2, value: 1, lateValue: 0.5, retries: 2, responseBytes: 1_500, calls: { class: 'stock', times: 2, share: 0.7 } },
    { name: 'deposit', service: 'commissions', idempotent: false, ratePerS: 126, workMs: 295, targetLatencyMs: 1_044, deadlineMs: 6_263, timeoutMs: 3_000, priority: 1, value: 2, lateValue: 1, retries: 2, requestBytes: 300, responseBytes: 1_500, calls: { class: 'rights', times: 2, share: 0.7 } },
    { name: 'download', service: 'archives', idempotent: true, bulky: true, ratePerS: 58.2, workMs: 181, targetLatencyMs: 1_126, deadlineMs: 6_757, timeoutMs: 6_757, priority: 2, value: 1, lateValue: 0.5, retries: 2, responseBytes: 90_000 },
    { name: 'status', service: 'archives', idempotent: true, ratePerS: 102, workMs: 90.5, targetLatencyMs: 447, deadlineMs: 2_792, timeoutMs: 1_200, priority: 1, value: 2, lateValue: 1, retries: 2, responseBytes: 5_000 },
    { name: 'stock', service: 'commissions', idempotent: true, ratePerS: 0, workMs: 56, targetLatencyMs: 293, deadlineMs: 936, timeoutMs: 936, priority: 1, value: 0, lateValue: 0, retries: 0 },
    { name: 'rights', service: 'archives', idempotent: true, ratePerS: 0, workMs: 56, targetLatencyMs: 293, deadlineMs: 936, timeoutMs: 936, priority: 1, value: 0, lateValue: 0, retries: 0 }
  ]
}

/** Workload of the floor shops, with the rates of a busy day. */
export const FLOOR_SHOPS_WORKLOAD: Workload = {
  dataCentres: ['a', 'b', 'c', 'd'],
  services: [
    { name: 'catalogue', targets: 5, slots: 9, speeds: [0.6, 1, 1.4] },
    { name: 'orders', targets: 4, slots: 9, speeds: [0.6, 1, 1.4] },
    { name: 'samples', targets: 4, slots: 9, speeds: [0.7, 0.7, 1.6] }
  ],
  classes: floorClasses({ read: 162, place: 61.9, upload: 24.4 })
}

/** The same with many more targets, each of which is called by many more daemons. */
export const LARGE_FLOOR_SHOPS_WORKLOAD: Workload = {
  dataCentres: ['a', 'b', 'c', 'd'],
  services: [
    { name: 'catalogue', targets: 41, slots: 6, speeds: [0.6, 1, 1.4] },
    { name: 'orders', targets: 28, slots: 6, speeds: [0.6, 1, 1.4] },
    { name: 'samples', targets: 9, slots: 6, speeds: [0.7, 0.7, 1.6] }
  ],
  classes: floorClasses({ read: 836, place: 320, upload: 126 })
}

function floorClasses (perS: { read: number, place: number, upload: number }): RequestClass[] {
  return [
    { name: 'read', service: 'catalogue', idempotent: true, ratePerS: perS.read, workMs: 160, targetLatencyMs: 500, deadlineMs: 2_000, timeoutMs: 1_000, priority: 2, value: 1, lateValue: 0.1, retries: 1, responseBytes: 5_000, calls: { class: 'stock', times: 2, share: 0.7 } },
    { name: 'place', service: 'orders', idempotent: false, ratePerS: perS.place, workMs: 210, targetLatencyMs: 600, deadlineMs: 2_500, timeoutMs: 1_200, priority: 1, value: 2, lateValue: 0.2, retries: 1, requestBytes: 4_000, responseBytes: 400, calls: { class: 'fetch', times: 2, share: 0.7 } },
    { name: 'upload', service: 'samples', idempotent: false, bulky: true, ratePerS: perS.upload, workMs: 190, targetLatencyMs: 600, deadlineMs: 2_500, timeoutMs: 1_200, priority: 1, value: 2, lateValue: 0.2, retries: 1, requestBytes: 60_000, responseBytes: 5_000 },
    { name: 'stock', service: 'orders', idempotent: true, ratePerS: 0, workMs: 40, targetLatencyMs: 150, deadlineMs: 500, timeoutMs: 500, priority: 1, value: 0, lateValue: 0, retries: 0 },
    { name: 'fetch', service: 'samples', idempotent: true, ratePerS: 0, workMs: 40, targetLatencyMs: 150, deadlineMs: 500, timeoutMs: 500, priority: 1, value: 0, lateValue: 0, retries: 0 }
  ]
}

const LONG_TAILED: WorkVariation = { sigma: 0.8, tailShare: 0.03, tailFactor: 7, isMean: true }

/** Workload of the heating oil depots: targets that share their machines, and demand that nearly fills their slots at its peak. */
export const OIL_DEPOTS_WORKLOAD: Workload = {
  dataCentres: ['a', 'b', 'c'],
  services: [
    { name: 'orders', targets: 58, slots: 6, speeds: [1 / 0.55, 1 / 1.2, 1 / 1.2, 1 / 1.2] },
    { name: 'billing', targets: 16, slots: 6, speeds: [1 / 0.6, 1, 1 / 1.4] }
  ],
  classes: [
    { name: 'lookup', service: 'orders', idempotent: true, ratePerS: 604, workMs: 181, workVariation: LONG_TAILED, targetLatencyMs: 600, deadlineMs: 2_500, timeoutMs: 1_200, priority: 2, value: 1, lateValue: 0.3, retries: 1, responseBytes: 1_500, calls: { class: 'price', times: 1, share: 0.7 } },
    { name: 'booking', service: 'orders', idempotent: false, ratePerS: 191, workMs: 238, workVariation: LONG_TAILED, targetLatencyMs: 800, deadlineMs: 3_000, timeoutMs: 1_500, priority: 1, value: 2, lateValue: 0.6, retries: 1, requestBytes: 1_200, responseBytes: 5_000 },
    { name: 'charge', service: 'billing', idempotent: false, ratePerS: 170, workMs: 124, workVariation: { ...LONG_TAILED, sigma: 0.5 }, targetLatencyMs: 600, deadlineMs: 2_000, timeoutMs: 1_000, priority: 0, value: 3, lateValue: 0.9, retries: 1, requestBytes: 4_000, responseBytes: 1_500 },
    { name: 'price', service: 'billing', idempotent: true, ratePerS: 0, workMs: 52, workVariation: { sigma: 0.5, tailShare: 0, tailFactor: 1, isMean: true }, targetLatencyMs: 200, deadlineMs: 600, timeoutMs: 600, priority: 1, value: 0, lateValue: 0, retries: 0 }
  ]
}

const WIDE: WorkVariation = { sigma: 0.8, tailShare: 0.01, tailFactor: 3, isMean: true }
const NARROW: WorkVariation = { ...WIDE, sigma: 0.5 }

/** Workload of the lost property bureau, whose callers belong to workspaces. */
export const LOST_PROPERTY_WORKLOAD: Workload = {
  dataCentres: ['a', 'b', 'c'],
  services: [
    { name: 'register', targets: 40, slots: 8, speeds: [0.5, 1, 1, 1.5] },
    { name: 'claims', targets: 26, slots: 8, speeds: [0.6, 1, 1.4] },
    { name: 'returns', targets: 11, slots: 8, speeds: [0.6, 1, 1.4] },
    { name: 'intake', targets: 5, slots: 8, speeds: [0.7, 0.7, 1.6] }
  ],
  classes: [
    { name: 'search', service: 'register', idempotent: true, ratePerS: 687, workMs: 257, workVariation: WIDE, targetLatencyMs: 800, deadlineMs: 5_000, timeoutMs: 2_500, priority: 1, value: 0.99, lateValue: 0.3, retries: 2, responseBytes: 400, calls: { class: 'verify', times: 2, share: 0.7 } },
    { name: 'claim', service: 'claims', idempotent: false, ratePerS: 249, workMs: 333, workVariation: NARROW, targetLatencyMs: 2_000, deadlineMs: 6_000, timeoutMs: 3_000, priority: 2, value: 0.99, lateValue: 0.44, retries: 2, requestBytes: 1_200, responseBytes: 1_500, calls: { class: 'quote', times: 2, share: 0.7 } },
    { name: 'book', service: 'returns', idempotent: false, ratePerS: 190, workMs: 181, workVariation: WIDE, targetLatencyMs: 600, deadlineMs: 4_000, timeoutMs: 2_000, priority: 1, value: 3, lateValue: 0.89, retries: 2, requestBytes: 1_200, responseBytes: 5_000, calls: { class: 'locate', times: 2, share: 0.7 } },
    { name: 'lookup', service: 'intake', idempotent: true, ratePerS: 154, workMs: 105, workVariation: WIDE, targetLatencyMs: 250, deadlineMs: 2_000, timeoutMs: 1_000, priority: 0, value: 3.7, lateValue: 0.45, retries: 2, responseBytes: 400 },
    { name: 'verify', service: 'claims', idempotent: true, ratePerS: 0, workMs: 63.8, workVariation: NARROW, targetLatencyMs: 250, deadlineMs: 800, timeoutMs: 800, priority: 1, value: 0, lateValue: 0, retries: 0 },
    { name: 'quote', service: 'returns', idempotent: true, ratePerS: 0, workMs: 63.8, workVariation: NARROW, targetLatencyMs: 250, deadlineMs: 800, timeoutMs: 800, priority: 1, value: 0, lateValue: 0, retries: 0 },
    { name: 'locate', service: 'intake', idempotent: true, ratePerS: 0, workMs: 63.8, workVariation: NARROW, targetLatencyMs: 250, deadlineMs: 800, timeoutMs: 800, priority: 1, value: 0, lateValue: 0, retries: 0 }
  ]
}
