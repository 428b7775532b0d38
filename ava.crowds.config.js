/** Tests that measure the memory of daemons under crowds of callers; run apart from all others, which would share the processor. */
export default {
  files: ['platform/src/__tests__/crowds.spec.ts'],
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx', '--conditions=source'],
  workerThreads: false,
  timeout: '180s'
}
