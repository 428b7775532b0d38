/** Least-squares line through measured points. */
export interface Fit {
  intercept: number
  slope: number
  /** Largest distance of a point from the line. */
  maxResidual: number
}

export interface Point {
  x: number
  y: number
}

export function fitLine (points: readonly Point[]): Fit {
  const n = points.length
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / n
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / n
  const sumOfSquares = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const sumOfProducts = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0)
  const slope = sumOfSquares === 0 ? 0 : sumOfProducts / sumOfSquares
  const intercept = meanY - slope * meanX
  const maxResidual = Math.max(...points.map(({ x, y }) => Math.abs(y - intercept - slope * x)))
  return { intercept, slope, maxResidual }
}

/** Value of the line at `x`. A falling line isn't extrapolated beyond the largest measured x, where it could fall below zero. */
export function predict (fit: Fit, x: number, largestMeasured: number): number {
  const boundedX = fit.slope < 0 ? Math.min(x, largestMeasured) : x
  return fit.intercept + fit.slope * boundedX
}

/** The x at which the line reaches the limit, or Infinity if it never does. */
export function sizeAtLimit (fit: Fit, limit: number): number {
  if (fit.slope <= 0) return Infinity
  return Math.max(0, (limit - fit.intercept) / fit.slope)
}
