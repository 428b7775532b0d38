/** A kind of request as the users' sheets give it. */
export interface RequestClass {
  name: string
  service: string
  idempotent: boolean
  bulky?: boolean
  /** Requests a second over all data centres; 0 for those that only targets make. */
  perS: number
  workMs: number
  targetLatencyMs: number
  deadlineMs: number
  timeoutMs: number
  priority: number
  worth: number
  lateWorth: number
  retries: number
  /** Bytes of a request's and a response's body. */
  requestBytes?: number
  responseBytes?: number
  /** Calls that a target makes, one after the other, while it runs such a request. */
  calls?: { class: string, times: number, share: number }
}

export interface Sheet {
  dataCentres: string[]
  services: { name: string, targets: number, slots: number, speeds: number[] }[]
  classes: RequestClass[]
}

/** The sheet of the wig atelier, with the rates of a busy day. */
export const ATELIER: Sheet = {
  dataCentres: ['a', 'b', 'c', 'd'],
  services: ['showroom', 'orders', 'workroom'].map((name) => ({ name, targets: 4, slots: 6, speeds: [0.5, 1, 1, 1.5] })),
  classes: [
    { name: 'browse', service: 'showroom', idempotent: true, perS: 57, workMs: 220, targetLatencyMs: 600, deadlineMs: 2_500, timeoutMs: 1_200, priority: 2, worth: 1, lateWorth: 0.3, retries: 1, calls: { class: 'stock', times: 2, share: 0.7 } },
    { name: 'order', service: 'orders', idempotent: false, perS: 26.4, workMs: 290, targetLatencyMs: 800, deadlineMs: 3_000, timeoutMs: 1_500, priority: 1, worth: 2, lateWorth: 0.6, retries: 1, calls: { class: 'roster', times: 2, share: 0.7 } },
    { name: 'sheet', service: 'workroom', idempotent: true, bulky: true, perS: 8, workMs: 180, targetLatencyMs: 600, deadlineMs: 2_500, timeoutMs: 1_200, priority: 2, worth: 1, lateWorth: 0.3, retries: 1 },
    { name: 'lookup', service: 'workroom', idempotent: true, perS: 23.6, workMs: 88, targetLatencyMs: 300, deadlineMs: 1_200, timeoutMs: 600, priority: 1, worth: 2, lateWorth: 0.6, retries: 1 },
    { name: 'stock', service: 'orders', idempotent: true, perS: 0, workMs: 55, targetLatencyMs: 200, deadlineMs: 600, timeoutMs: 600, priority: 1, worth: 0, lateWorth: 0, retries: 0 },
    { name: 'roster', service: 'workroom', idempotent: true, perS: 0, workMs: 55, targetLatencyMs: 200, deadlineMs: 600, timeoutMs: 600, priority: 1, worth: 0, lateWorth: 0, retries: 0 }
  ]
}

/** The sheet of the carvers' consortium, with the rates of a usual day. */
export const CARVERS: Sheet = {
  dataCentres: ['a', 'b', 'c', 'd'],
  services: [
    { name: 'catalogue', targets: 6, slots: 12, speeds: [0.6, 1, 1.4] },
    { name: 'commissions', targets: 4, slots: 12, speeds: [0.6, 1, 1.4] },
    { name: 'archives', targets: 4, slots: 12, speeds: [0.7, 0.7, 1.6] }
  ],
  classes: [
    { name: 'browse', service: 'catalogue', idempotent: true, perS: 466, workMs: 90, targetLatencyMs: 300, deadlineMs: 2_000, timeoutMs: 1_000, priority: 2, worth: 1, lateWorth: 0.5, retries: 2, calls: { class: 'stock', times: 2, share: 0.7 } },
    { name: 'deposit', service: 'commissions', idempotent: false, perS: 120, workMs: 120, targetLatencyMs: 400, deadlineMs: 2_500, timeoutMs: 1_200, priority: 1, worth: 2, lateWorth: 1, retries: 2, calls: { class: 'rights', times: 2, share: 0.7 } },
    { name: 'download', service: 'archives', idempotent: true, bulky: true, perS: 55.7, workMs: 72, targetLatencyMs: 300, deadlineMs: 2_000, timeoutMs: 1_000, priority: 2, worth: 1, lateWorth: 0.5, retries: 2 },
    { name: 'status', service: 'archives', idempotent: true, perS: 97.8, workMs: 36, targetLatencyMs: 150, deadlineMs: 1_000, timeoutMs: 500, priority: 1, worth: 2, lateWorth: 1, retries: 2 },
    { name: 'stock', service: 'commissions', idempotent: true, perS: 0, workMs: 22, targetLatencyMs: 100, deadlineMs: 250, timeoutMs: 250, priority: 1, worth: 0, lateWorth: 0, retries: 0 },
    { name: 'rights', service: 'archives', idempotent: true, perS: 0, workMs: 22, targetLatencyMs: 100, deadlineMs: 250, timeoutMs: 250, priority: 1, worth: 0, lateWorth: 0, retries: 0 }
  ]
}

/** The sheet of the floor shops, with the rates of a busy day. */
export const FLOORS: Sheet = {
  dataCentres: ['a', 'b', 'c', 'd'],
  services: [
    { name: 'catalogue', targets: 5, slots: 9, speeds: [0.6, 1, 1.4] },
    { name: 'orders', targets: 4, slots: 9, speeds: [0.6, 1, 1.4] },
    { name: 'samples', targets: 4, slots: 9, speeds: [0.7, 0.7, 1.6] }
  ],
  classes: floorClasses({ read: 162, place: 61.9, upload: 24.4 })
}

/** The same once grown: many more targets, each asked by many more daemons. */
export const MANY_FLOORS: Sheet = {
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
    { name: 'read', service: 'catalogue', idempotent: true, perS: perS.read, workMs: 160, targetLatencyMs: 500, deadlineMs: 2_000, timeoutMs: 1_000, priority: 2, worth: 1, lateWorth: 0.1, retries: 1, responseBytes: 5_000, calls: { class: 'stock', times: 2, share: 0.7 } },
    { name: 'place', service: 'orders', idempotent: false, perS: perS.place, workMs: 210, targetLatencyMs: 600, deadlineMs: 2_500, timeoutMs: 1_200, priority: 1, worth: 2, lateWorth: 0.2, retries: 1, requestBytes: 4_000, responseBytes: 400, calls: { class: 'fetch', times: 2, share: 0.7 } },
    { name: 'upload', service: 'samples', idempotent: false, bulky: true, perS: perS.upload, workMs: 190, targetLatencyMs: 600, deadlineMs: 2_500, timeoutMs: 1_200, priority: 1, worth: 2, lateWorth: 0.2, retries: 1, requestBytes: 60_000, responseBytes: 5_000 },
    { name: 'stock', service: 'orders', idempotent: true, perS: 0, workMs: 40, targetLatencyMs: 150, deadlineMs: 500, timeoutMs: 500, priority: 1, worth: 0, lateWorth: 0, retries: 0 },
    { name: 'fetch', service: 'samples', idempotent: true, perS: 0, workMs: 40, targetLatencyMs: 150, deadlineMs: 500, timeoutMs: 500, priority: 1, worth: 0, lateWorth: 0, retries: 0 }
  ]
}
