import neostandard from 'neostandard'
import * as regexp from 'eslint-plugin-regexp'

/** Packages that each package may import; docs/design.md, section 3, gives the reasons. */
const allowedImports = {
  core: [],
  config: ['core'],
  builder: ['core', 'config'],
  platform: ['core', 'config'],
  mesh: ['core', 'config', 'platform'],
  proxy: ['core', 'config'],
  moves: ['core', 'config'],
  hop: ['core', 'moves'],
  daemon: ['core', 'config', 'platform', 'mesh', 'proxy', 'moves'],
  cli: ['core', 'config', 'platform'],
  testkit: ['core', 'config'],
  bench: ['core', 'config', 'builder', 'platform', 'testkit', 'mesh', 'proxy', 'moves', 'hop', 'daemon', 'cli', 'machines']
}

const importDirection = Object.entries(allowedImports).map(([name, allowed]) => ({
  files: [`packages/${name}/src/**/*.ts`],
  ignores: ['**/__tests__/**'],
  rules: {
    'no-restricted-imports': ['error', {
      patterns: [{
        group: Object.keys(allowedImports)
          .filter((other) => !allowed.includes(other))
          .map((other) => `@lentilwheel/${other}`),
        message: `packages/${name} may import only: ${allowed.join(', ') || 'nothing of this workspace'}`
      }]
    }]
  }
}))

/** Only files named `node*.ts` may use real clocks, timers and random numbers; other code gets them passed in, for deterministic tests. */
const pureDecisions = {
  files: ['packages/{core,config,builder,platform,mesh,proxy,moves,hop,daemon,cli}/src/**/*.ts', 'platform/src/**/*.ts'],
  ignores: ['**/node*.ts', '**/__tests__/**', '**/gen/**'],
  rules: {
    'no-restricted-properties': ['error',
      { object: 'Date', property: 'now', message: 'read the time from the timer service' },
      { object: 'performance', property: 'now', message: 'read the time from the timer service' },
      { object: 'Math', property: 'random', message: 'use a seeded Random' }
    ],
    'no-restricted-globals': ['error',
      { name: 'setTimeout', message: 'subscribe to the timer service' },
      { name: 'setInterval', message: 'subscribe to the timer service' },
      { name: 'setImmediate', message: 'subscribe to the timer service' }
    ]
  }
}

/** Expressions whose time grows faster than the text, as texts come from targets, callers and peers. */
const linearExpressions = {
  plugins: { regexp },
  rules: {
    'regexp/no-super-linear-backtracking': ['error', { report: 'potential' }],
    'regexp/no-super-linear-move': ['error', { report: 'potential', ignorePartial: false }]
  }
}

export default [
  { ignores: ['**/dist/**', '**/gen/**', 'bench-out/**', 'target/**', 'journal/**'] },
  ...neostandard({ ts: true }),
  { rules: { 'max-lines': ['error', { max: 400 }] } },
  pureDecisions,
  linearExpressions,
  ...importDirection
]
