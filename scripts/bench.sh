#!/usr/bin/env bash
# Measures on a quiet machine: what one entry costs (about 30 s), then the
# routing policies beside each other (about 6 min). Results go to out/.
set -euo pipefail
bin/sf-load overhead --out out
bin/sf-load compare --out out "$@"
