#!/usr/bin/env bash
# Checks what the cases start besides the daemon. The stand-ins are plain modules for Node.js and need no compilation.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done
