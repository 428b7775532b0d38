export default {
  files: ['packages/*/src/**/__tests__/**/*.spec.ts', 'platform/src/**/__tests__/**/*.spec.ts', '!platform/src/__tests__/crowds.spec.ts'],
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx', '--conditions=source'],
  workerThreads: false,
  timeout: '180s',
  concurrency: 5
}
