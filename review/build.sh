#!/bin/sh
# The stand-ins of the scripts are plain Node.js programs in review/lib and need no build; this checks that they can be read.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/case.mjs; do node --check "$file"; done
test -f target/boot.cjs || echo "review: target/boot.cjs is missing: run the build of deploy/system.toml first" >&2
