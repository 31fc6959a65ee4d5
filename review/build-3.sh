#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start. The stand-ins are plain
# modules without dependencies, so that only their syntax is checked. The
# processes under test are built by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/stand_ins_3/*.mjs review/1[1-5]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
[ -f target/parsleyknot.cjs ] || node tools/build_platform.mjs
