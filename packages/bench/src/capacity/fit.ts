/** Straight line through measured points, by least squares. */
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
  const spread = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const shared = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0)
  const slope = spread === 0 ? 0 : shared / spread
  const intercept = meanY - slope * meanX
  const maxResidual = Math.max(...points.map(({ x, y }) => Math.abs(y - intercept - slope * x)))
  return { intercept, slope, maxResidual }
}

/** Value of the line; a falling slope is not trusted beyond the points, so that it never lowers a prediction. */
export function predict (fit: Fit, x: number, largestMeasured: number): number {
  const reach = fit.slope < 0 ? Math.min(x, largestMeasured) : x
  return fit.intercept + fit.slope * reach
}

/** Size at which the line reaches the limit, or Infinity when it never does. */
export function sizeAtLimit (fit: Fit, limit: number): number {
  if (fit.slope <= 0) return Infinity
  return Math.max(0, (limit - fit.intercept) / fit.slope)
}
