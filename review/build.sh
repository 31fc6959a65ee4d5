#!/usr/bin/env bash
# Checks the stand-ins and the cases' scripts. They are plain JavaScript that
# node runs as it is, so nothing has to be compiled or fetched.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins/*.mjs [1-5]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
