#!/usr/bin/env bash
# Measures the overhead of one entry (about 30 s), then compares the routing
# policies (about 6 min). Needs an otherwise idle machine. Writes to out/.
set -euo pipefail
bin/sf-load overhead --out out
bin/sf-load compare --out out "$@"
