#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start: those of the project, by its own compiler. Those in
# standins-3 need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -b
