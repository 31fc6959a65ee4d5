#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are plain modules that Node.js runs as they
# are: nothing is compiled. The syntax of each file that a script starts is
# checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins_2/*.mjs [0-9]*/case.mjs; do
  node --check "$file"
done
