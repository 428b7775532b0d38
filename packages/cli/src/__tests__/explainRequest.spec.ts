import test from 'ava'
import { CliHarness } from './cliHarness.js'

/** Log of two daemons, with a prefix before some lines and an incomplete last line as after a kill. */
const LOG = `
  7.1000 otaru-2 {"at":1787199920000,"host":"otaru-2","what":"peerDown","peer":"otaru-1"}
  7.2000 otaru-2 {"at":1787199920100,"host":"otaru-2","what":"attempt","id":"busy1","call":"otaru-2/1/7","peer":"otaru-3","target":"i-3","mode":"now","outcome":"busy","ran":false}
  7.2010 otaru-3 {"at":1787199920110,"host":"otaru-3","what":"inbound","id":"busy1","call":"otaru-2/1/8","route":"browse","target":"i-3","outcome":"busy","running":6,"queued":4}
  7.2020 otaru-2 {"at":1787199920120,"host":"otaru-2","what":"outbound","id":"busy1","route":"browse","service":"showroom","config":28,"outcome":503,"ms":20,"offers":2,"reason":"busy","retryAfterMs":310,"notRun":true}
{"at":1787199920200,"host":"otaru-2","what":"outbound","id":"gone1","outcome":404,"reason":"noRoute","authority":"h.example","config":28}
{"at":1787199920300,"host":"otaru-1","what":"inbound","id":"lost1","call":"otaru-2/1/9","route":"order","target":"i-1","outcome":"reset","ms":140,"queuedMs":2,"running":3,"queued":0}
{"at":1787199920301,"host":"otaru-2","what":"attempt","id":"lost1","call":"otaru-2/1/9","peer":"otaru-1","target":"i-1","mode":"now","outcome":"reset","ran":true}
{"at":1787199920302,"host":"otaru-2","what":"outbound","id":"lost1","route":"order","service":"orders","config":28,"outcome":502,"ms":142,"offers":1,"reason":"reset"}
{"at":1787199920400,"host":"otaru-2","what":"outbound","id":"good1","route":"order","service":"orders","config":28,"outcome":200,"ms":100,"offers":1}
{"at":1787199920410,"host":"otaru-2","what":"outbound","id":"late1","route":"status","service":"archives","config":28,"outcome":200,"ms":905,"offers":2,"waits":[12,0,80,813]}
{"at":1787199900000,"host":"otaru-3","what":"targetCrashed","target":"i-3","service":"showroom","suspects":1,"running":[{"id":"deadly0","route":"browse","request":"d1","ms":90},{"id":"other","route":"browse","request":"d2","ms":10}]}
{"at":1787199906000,"host":"otaru-1","what":"targetCrashed","target":"i-1","service":"showroom","suspects":1,"running":[{"id":"other","route":"browse","request":"d2","ms":10}]}
{"at":1787199908000,"host":"otaru-2","what":"requestBlocked","request":"d1","level":1,"reports":["otaru-3/1/1"],"forMs":3600000}
{"at":1787199920450,"host":"otaru-2","what":"outbound","id":"deadly1","route":"browse","service":"showroom","config":28,"outcome":503,"ms":0,"offers":0,"reason":"quarantined","retryAfterMs":3587550,"notRun":true,"request":"d1","standing":"blocked"}
{"at":1787199920460,"host":"otaru-2","what":"outbound","id":"keyless1","outcome":401,"reason":"keyMissing","authority":"h.example","route":"order","config":28}
{"at":1787199920470,"host":"otaru-2","what":"outbound","id":"over1","outcome":429,"reason":"quotaExceeded","authority":"h.example","route":"order","workspace":"hotel","retryAfterMs":40,"notRun":true,"config":28}
{"at":1787199920500,"host":"otaru-2","what":"linesOmitted","plain":3,"failed":0,"decision":0}
{"at":17871999205`

for (const id of ['busy1', 'gone1', 'lost1', 'good1', 'late1', 'deadly1', 'keyless1', 'over1', 'unknown']) {
  test(`explains a request by its id: ${id}`, async (t) => {
    const cli = new CliHarness()
    cli.files.set('all.log', LOG)
    t.snapshot((await cli.run('explain-request', id, 'all.log')))
    const json = JSON.parse((await cli.run('explain-request', id, 'all.log', '--json')).out) as { sentences?: string[] }
    t.true((json.sentences?.length ?? 0) > 0 || JSON.stringify(json).includes('request-not-logged'))
  })
}

test('lines of several files are merged by time', async (t) => {
  const cli = new CliHarness()
  const lines = LOG.split('\n')
  cli.files.set('a.log', lines.slice(0, 4).join('\n'))
  cli.files.set('b.log', lines.slice(4).join('\n'))
  cli.files.set('all.log', LOG)
  t.is((await cli.run('explain-request', 'busy1', 'b.log', 'a.log')).out, (await cli.run('explain-request', 'busy1', 'all.log')).out)
})
