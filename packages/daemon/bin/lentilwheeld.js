#!/usr/bin/env -S node --max-semi-space-size=2
// The small young generation keeps a daemon under its memory target; V8 would let it grow to 32 MB and keep it.
import { main } from '../dist/main.js'

await main(process.argv)
