#!/usr/bin/env bash
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
