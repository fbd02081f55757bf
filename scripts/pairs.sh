#!/usr/bin/env bash
# Simulates days on which pairs of the disruptions in platform/days overlap, with
# the users' benchmark. Each day has three pairs, chosen at random from a seed.
# Prints one row for each day on which a rule was broken, and a summary.
#   scripts/pairs.sh BENCH SITE JOBS WHY DAYS SEED
# BENCH is the benchmark program, JOBS the number of parallel runs, WHY the prefix
# of the text for the benchmark's --why flag, and DAYS the number of days.
set -euo pipefail
bench=$1 site=$2 jobs=$3 why=$4 days=$5 seed=$6
out=$(mktemp -d)
# entry prints the first entry of a day's file with its time replaced.
entry() { grep -m1 'kind = ' "$1" | sed -E "s/at = [0-9.]+/at = $2/"; }
# entry_key prints the key of a day's entries: plan for planned work, or faults.
entry_key() { grep -qE '^plan' "$1" && echo plan || echo faults; }
mapfile -t kinds < <(ls platform/days/*.toml)
RANDOM=$seed
for n in $(seq "$days"); do
  plan="" faults="" names=""
  for at in 3.0 4.0 13.0 14.0 23.0 24.0; do
    kind=${kinds[$((RANDOM % ${#kinds[@]}))]}
    names="$names $(basename "$kind" .toml)"
    if [ "$(entry_key "$kind")" = plan ]; then plan+="$(entry "$kind" "$at")"$'\n'; else faults+="$(entry "$kind" "$at")"$'\n'; fi
  done
  {
    echo "name = \"pairs-$n\""
    echo "seed = $((seed * 1000 + n))"
    printf 'plan = [\n%s]\nfaults = [\n%s]\n' "$plan" "$faults"
  } > "$out/pairs-$n.toml"
  echo "$names" > "$out/pairs-$n.names"
done
play() { "$1" run "$2" "$4" --jobs 1 --why "$5: $(basename "$4" .toml)" > "${4%.toml}.txt" 2>&1 || true; }
export -f play
printf '%s\0' "$out"/*.toml | xargs -0 -P "$jobs" -I{} bash -c 'play "$@"' _ "$bench" "$site" "$out" {} "$why"
for f in "$out"/*.txt; do
  name=$(basename "$f" .txt)
  if grep -q BROKEN "$f" || ! grep -q "^$name " "$f"; then
    echo "$name$(cat "$out/$name.names"): $(grep -o 'BROKEN.*' "$f" | head -1 || echo 'not run')"
  fi
done
grep -h '^pairs-' "$out"/*.txt | awk '{ w += $4; n++; if (!low || $4 < low) low = $4 } END { printf "%d days, mean worth %.3f, lowest %.3f\n", n, w / n, low }'
echo "output: $out" >&2
