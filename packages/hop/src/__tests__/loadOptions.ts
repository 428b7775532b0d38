import type { HedgingLimits } from '../outbound/hedging.js'
import type { RequestClass } from './workloads.js'

/** Length and disturbances of a simulation. */
export interface LoadOptions {
  seed: number
  seconds: number
  /** Factor on the request rate, by simulated time in seconds. */
  rateAt (second: number): number
  /** Factor on the request rate of callers in one data centre, all of which have the same share of the rate; callers are anywhere unless given. */
  dataCentreRateAt? (dataCentre: string, second: number): number
  /** Number of requests that callers in a data centre send at the same time; 1 unless given. */
  clumpSize? (dataCentre: string): number
  /** Workspaces of the callers; they have none unless given. */
  workspaces?: WorkspaceOptions
  /** Slowdown of targets by others on their machines; targets have their machines to themselves unless given. */
  neighbours?: NeighbourOptions
  /** Factor on the work of a target, by simulated time in seconds. */
  slowness? (host: string, service: string, second: number): number
  /** Share of requests that a target fails. */
  failing? (host: string, service: string, second: number): number
  /** Share of requests that a target sheds at once. */
  shedding? (host: string, service: string, second: number): number
  /** Requests per second that a target states as its limit; undefined when it states none. */
  limitPerS? (host: string, service: string, second: number): number | undefined
  /** What the link of a host carries, in bytes a millisecond; unlimited unless given. */
  linkBytesPerMs? (host: string): number
  /** Limits that operators set on hedging. */
  hedging?: HedgingLimits
  /** Path of a request after its class; requests of a class are the same unless it is given. */
  pathOf? (cls: RequestClass, second: number): string
  /** Whether a request crashes each target that runs it. */
  isDeadly? (url: string): boolean
  /** Targets that are killed for other reasons; several at the same time are killed together. */
  kills?: readonly { host: string, atS: number }[]
  /** Daemons that are stopped and started again. */
  restarts?: readonly DaemonRestart[]
}

/** Workspaces whose shares of the requests follow Zipf's law. */
export interface WorkspaceOptions {
  count: number
  exponent: number
  /** Whether daemons know the workspaces of requests. */
  isKnown: boolean
  /** Workspace that sends `factor` times its usual requests, in addition to what the others send; the largest is 0. */
  hot?: { index: number, factor: number }
}

/** How often, how much and for how long a machine slows its target down. */
export interface NeighbourOptions {
  /** Share of the periods in which work takes `factor` times as long. */
  share: number
  factor: number
  periodMs: number
  /** Whether targets report the slowdown with their load. */
  isReported: boolean
}

/** A planned restart of one daemon: it says that it stops, and is down once its requests have ended. */
export interface DaemonRestart {
  host: string
  stoppingAtS: number
  downAtS: number
  upAtS: number
}

/** A limit on its requests that a target stated from a time on. */
export interface StatedLimit {
  /** Milliseconds, when the first response stated it. */
  at: number
  /** Requests per second; Infinity for no limit. */
  perS: number
}

/** Outcomes of the requests of one class, as their callers see them. */
export interface ClassResult {
  requests: number
  onTime: number
  late: number
  rejected: number
  failed: number
  /** Value earned as a fraction of the value of all requests, had all responses been in time. */
  valueShare: number
  /** Rejections that came later than a quarter of the target latency. */
  lateRejections: number
  /** Requests that were served after one rejection, and those of them within the target latency. */
  servedAfterRejection: number
  onTimeAfterRejection: number
  /** Rejections of requests that had been rejected before. */
  rejectedAgain: number
}
