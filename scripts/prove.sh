#!/usr/bin/env bash
# Runs the tests of docs/PROOFS.md, which are listed in docs/proofs.list, and
# prints one line for each: held (passed), fell (failed) or not run. Then runs
# each fuzz target for FUZZTIME. Exits with 1 if any of them failed.
#
#   SEED=7 ROUNDS=20 FUZZTIME=10s make prove
#   ROWS='P6|F10' make prove      # only these rows
set -uo pipefail
cd "$(dirname "$0")/.."
export SEED=${SEED:-$((RANDOM * 32768 + RANDOM))} ROUNDS=${ROUNDS:-12}
FUZZTIME=${FUZZTIME:-10s}
ROWS=${ROWS:-.*}
out=out/prove
mkdir -p "$out"
echo "pairs of faults: SEED=$SEED ROUNDS=$ROUNDS (set both to replay)"
fell=0

# verdict ROW WHAT LOG EXIT prints the result line of one run.
verdict() {
  local result=held
  if [ "$4" -ne 0 ]; then
    result=fell
    fell=1
  elif ! grep -qE '^ *--- PASS|^PASS' "$3" || grep -q 'no tests to run' "$3"; then
    result='not run'
  fi
  printf '%-8s %-4s %s\n' "$result" "$1" "$2"
  if [ "$result" = fell ]; then
    grep -E '^ *--- FAIL|^ +[a-z_]+\.go:[0-9]+:|FAIL:|panic:' "$3" | head -20 | sed 's/^/           /'
  fi
}

while IFS='|' read -r row package rest; do
  row=$(echo $row) package=$(echo $package)
  [[ "$row" =~ ^($ROWS)$ ]] || continue
  pattern=$(echo "$rest" | sed -E 's/ \| -.*//; s/^ +| +$//g')
  extra=$(echo "$rest" | sed -nE 's/.* \| (-.*)$/\1/p' | sed "s/\$SEED/$SEED/; s/\$ROUNDS/$ROUNDS/")
  log="$out/$row-$(echo "$package-$pattern" | tr -c 'A-Za-z0-9' '_' | cut -c1-80).log"
  # shellcheck disable=SC2086 # the extra arguments are split on purpose
  go test -count=1 -v -timeout 15m -run "$pattern" "$package" $extra >"$log" 2>&1
  verdict "$row" "${package#./internal/} $pattern" "$log" $?
done < <(grep -vE '^(#|$)' docs/proofs.list)

if [[ E5 =~ ^($ROWS)$ ]]; then
  for file in $(grep -rlE '^func Fuzz' internal platform --include='*_test.go'); do
    for target in $(grep -ohE '^func Fuzz[A-Za-z]*' "$file" | sed 's/func //'); do
      log="$out/E5-$target.log"
      go test -run '^$' -fuzz "^$target\$" -fuzztime "$FUZZTIME" "./$(dirname "$file")" >"$log" 2>&1
      code=$?
      verdict E5 "$target, $(grep -oE 'execs: [0-9]+' "$log" | tail -1)" "$log" $code
    done
  done
fi
echo "rows without a test are in docs/PROOFS.md under \"Not proved\"; logs are in $out"
exit $fell
