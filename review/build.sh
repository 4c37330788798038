#!/usr/bin/env bash
# Prepares the scripts' stand-ins. They are plain JavaScript for Node.js 20 and
# use nothing but its own modules, so there is nothing to build; the bundle that
# they start comes from the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/common/*.mjs review/*/case.mjs; do
  node --check "$file"
done
