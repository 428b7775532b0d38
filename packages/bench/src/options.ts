/** Options of every bench; each takes what applies to it. */
export interface BenchOptions {
  daemons?: number
  seconds?: number
  rate?: number
  seed: number
  /** Directory of a built checkout of an earlier version to compare with. */
  baseline?: string
}

/** Settings used and figures measured, printed as the last line with `--json`. */
export type BenchResult = Record<string, unknown>

/** Prints progress; goes to standard error, so that `--json` output stays one object. */
export type Report = (line: string) => void

export type Bench = (opts: BenchOptions, report: Report) => Promise<BenchResult>
