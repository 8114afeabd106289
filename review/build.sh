#!/usr/bin/env bash
# Builds every stand-in that the scripts of this folder start. They are plain JavaScript, so that only their syntax is
# checked; the project's own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
    [ -e "$file" ] || continue
    node --check "$file"
done
