import test from 'ava'
import { ESLint } from 'eslint'

test('guards against an expression that a text from elsewhere can keep busy for more than in proportion to its length', async (t) => {
  const eslint = new ESLint()
  const results = await eslint.lintFiles(['packages/{core,hop,moves}/src/**/*.ts', 'platform/src/**/*.ts'])
  t.true(results.length > 100)
  t.deepEqual(results.flatMap(({ filePath, messages }) => messages.filter(({ ruleId }) => ruleId?.startsWith('regexp/')).map(({ line, message }) => `${filePath}:${line}: ${message}`)), [])
})
