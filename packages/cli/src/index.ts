export * from './apply.js'
export * from './account/schema.js'
