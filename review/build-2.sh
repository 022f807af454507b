#!/bin/sh
# The stand-ins of the cases 4 to 8 are plain JavaScript modules for the Node.js that runs the project: nothing is compiled, only checked.
set -eu
cd "$(dirname "$0")"
for file in lib2/*.mjs [4-8]/*.mjs; do
    [ -e "$file" ] && node --check "$file"
done
