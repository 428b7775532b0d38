export type { MoveEffect } from './effects.js'
export { createMoveEngine, type MoveEngine, type MoveEngineOptions } from './engine.js'
export { bucketUpperMs, latencyBucket } from './latency.js'
export type { Shares } from './localMove.js'
