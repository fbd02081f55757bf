#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt, which fail because of a
# known fault. Prints the skipped tests. The tests of crowds, which bound the
# memory of processes, run last and one at a time.
set -euo pipefail
crowds='^TestCrowds'
names=
if [ -s KNOWN-RED.txt ]; then
  echo "skipped because of known faults (KNOWN-RED.txt):"
  cat KNOWN-RED.txt
  names=$(grep -vE '^ *(#|$)' KNOWN-RED.txt | cut -d: -f1 | sed 's/.*/^&$/' | paste -sd'|')
fi
go test -race -timeout 10m -skip "$crowds${names:+|$names}" ./...
exec go test -race -timeout 10m -p 1 -run "$crowds" ${names:+-skip "$names"} ./internal/entry ./platform/demo
