#!/usr/bin/env bash
# Runs the benchmarks that stand so far.
set -euo pipefail
exec go test -run '^$' -bench . ./...
