export * from './builder.js'
