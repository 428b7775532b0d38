#!/usr/bin/env node
import { setFlagsFromString } from 'node:v8'

// Keeps the young generation at its initial size; by default it grows to 32 MB and stays resident.
setFlagsFromString('--semi-space-growth-factor=1')

const { main } = await import('../dist/main.js')
await main(process.argv)
