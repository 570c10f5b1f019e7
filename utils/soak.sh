#!/usr/bin/env bash
# Runs every soak under BUILD/soak: soak.sh [--mutants] BUILD SEEDS STEPS.
# With --mutants each planted fault must make some seed fail.
set -u
mutants=false
if [ "$1" = "--mutants" ]; then
  mutants=true
  shift
fi
build=$1 seeds=$2 steps=$3
failed=0 passed=0

run_seeds() {  # program, extra arguments; succeeds when every seed passes
  local program=$1
  shift
  for seed in $(seq 1 "$seeds"); do
    "$program" --seed "$seed" --steps "$steps" "$@" >"$build/soak.out" 2>&1 || return 1
  done
}

for program in "$build"/soak/*_soak; do
  name=$(basename "$program")
  if ! run_seeds "$program"; then
    tail -25 "$build/soak.out"
    echo "soak: $name FAILED"
    failed=$((failed + 1))
    continue
  fi
  echo "soak: $name passed, seeds 1-$seeds, $steps steps each"
  passed=$((passed + 1))
  $mutants || continue
  for mutant in $("$program" --list-mutants); do
    if run_seeds "$program" --mutant "$mutant" ||
       ! grep -q "^invariant broken: " "$build/soak.out"; then
      echo "soak: $name mutant $mutant NOT CAUGHT"
      if grep -qx "mutant: $name $mutant" KNOWN-RED.txt; then
        echo "soak: $name mutant $mutant is known to be red, passed over"
        continue
      fi
      failed=$((failed + 1))
    else
      echo "soak: $name mutant $mutant caught"
      passed=$((passed + 1))
    fi
  done
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
