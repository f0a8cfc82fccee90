#!/usr/bin/env bash
# Checks the stand-ins and scripts of the cases 6 to 10. They are plain modules without dependencies, so that there is
# nothing to compile; the scripts start the bundle that the build of the deploy file has made.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.mjs [0-9]*/run.mjs; do
  node --check "$file"
done
test -f ../target/bin/egretyoke-platform.cjs
