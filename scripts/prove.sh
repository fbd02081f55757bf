#!/usr/bin/env bash
# Runs the proofs that stand so far: the process tests.
set -euo pipefail
exec go test -count=1 -v -run 'TestDemoHolds' ./internal/demo/
