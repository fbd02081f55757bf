#!/usr/bin/env bash
# Simulates each day of platform/days on a site with the users' benchmark, and
# prints one row per day: worth, served, refused, failed, and the broken rules.
#   scripts/kinds.sh BENCH SITE JOBS WHY
# BENCH is the benchmark program, JOBS the number of parallel runs, and WHY the
# prefix of the text for the benchmark's --why flag.
set -euo pipefail
bench=$1 site=$2 jobs=$3 why=$4
out=$(mktemp -d)
play() {
  "$1" run "$2" "$4" --jobs 1 --why "$5: $(basename "$4" .toml)" > "$3/$(basename "$4").txt" 2>&1 || true
}
export -f play
printf '%s\0' platform/days/*.toml | xargs -0 -P "$jobs" -I{} bash -c 'play "$@"' _ "$bench" "$site" "$out" {} "$why"
printf '%-22s %7s %7s %7s %7s  %s\n' day worth served refused failed broken
for f in "$out"/*.txt; do
  name=$(basename "$f" .toml.txt)
  awk -v name="$name" '$1 == name && $2 ~ /\// {
    broken = match($0, /BROKEN[^(]*/) ? substr($0, RSTART, RLENGTH) : "";
    if (match($0, /[0-9]+ exits of its own/)) broken = broken " " substr($0, RSTART, RLENGTH);
    printf "%-22s %7s %7s %7s %7s  %s\n", name, $4, $5, $6, $7, broken; found = 1 }
    END { if (!found) printf "%-22s not run\n", name }' "$f"
done
echo "output: $out" >&2
