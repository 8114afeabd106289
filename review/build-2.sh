#!/usr/bin/env bash
# Checks the stand-ins and scripts of cases 6 to 10. They are plain JavaScript and need no compiler and no library.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
    if [ -e "$file" ]; then
        node --check "$file"
    fi
done
