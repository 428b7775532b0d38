/** Command-line options of the benches; each bench reads those that apply to it. */
export interface BenchOptions {
  daemons?: number
  seconds?: number
  rate?: number
  seed: number
  /** Directory of a built checkout of an earlier version to compare with, or `plain` for a minimal forwarder. */
  baseline?: string
}

/** Settings and measurements of a run; printed as one JSON object, with `--json` on the last line. */
export type BenchResult = Record<string, unknown>

/** Prints a line of progress to standard error, so that standard output holds only the result. */
export type ReportProgress = (line: string) => void

/** Runs one bench to its end. */
export type Bench = (opts: BenchOptions, report: ReportProgress) => Promise<BenchResult>
