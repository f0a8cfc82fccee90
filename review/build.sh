#!/usr/bin/env bash
# The stand-ins use Node.js only and run without a build; this checks that each of them can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs ./[0-9]*/*.mjs; do node --check "$file"; done
