#!/usr/bin/env bash
# Builds what the cases need, where it is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent
[ -f target/main.cjs ] || npm run --silent bundle
