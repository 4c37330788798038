#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain JavaScript and need no build. This
# checks that each of them, and what the cases start, is there and can be read.
cd "$(dirname "$0")/.." || exit 1
for file in review/common-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done
[ -e target/rattanvane.mjs ] || {
  echo "run the build of deploy/system.toml first" >&2
  exit 1
}
