#!/usr/bin/env -S node --max-semi-space-size=8
// By default V8 lets the young generation grow to 32 MB and keeps it, which exceeds the daemon's memory target.
import { main } from '../dist/main.js'

await main(process.argv)
