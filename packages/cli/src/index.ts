export * from './apply.js'
