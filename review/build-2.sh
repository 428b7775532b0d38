#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain JavaScript under lib-2/ and in the folders of the cases and need no build;
# this checks that each of them can be read.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
