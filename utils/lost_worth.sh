#!/usr/bin/env bash
# Lists the days on which callers are refused for want of a server or a copy
# after the last fault has ended: lost worth that breaks no rule.
#
#   lost_worth.sh BENCH SITE DAY [OPTION...]    one day, DAY as for 'run'
#   lost_worth.sh BENCH SITE hunt N [OPTION...] N days of 'hunt', each again
#
# Further options go to the bench. Prints a line a day and fails if the share of
# refused requests is above MAX_PERCENT on any of them. Refusals count from
# SETTLE_S after the last fault, by when servers have registered again.
set -u
bench=$1 site=$2
shift 2
: "${MAX_PERCENT:=2}" "${SETTLE_S:=4}"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Reads the log of a day with its report; prints the share and each host and
# reason with the times of the first and last refusal.
judge() {
  awk -v settle="$SETTLE_S" -v most="$MAX_PERCENT" -v day="$1" '
    / event=request / {
      n = split($0, field, " ")
      reason = ""
      for (i = 1; i <= n; i++)
        if (field[i] ~ /^reason=/) reason = substr(field[i], 8)
      at[++requests] = $1
      refused[requests] = ($0 ~ / outcome=refused / &&
          (reason == "no_server" || reason == "model_not_loaded"))
      key[requests] = $2 " " reason
    }
    /^what happened/ { events = 1; next }
    events && /^ / {
      for (i = 1; i < NF; i++)
        if ($i == "s" && $(i - 1) + 0 > ended) ended = $(i - 1) + 0
      next
    }
    events && /^[^ ]/ { events = 0 }
    END {
      for (i = 1; i <= requests; i++) {
        if (at[i] < ended + settle) continue
        all++
        if (!refused[i]) continue
        bad++
        k = key[i]
        if (!(k in count)) first[k] = at[i]
        count[k]++
        last[k] = at[i]
      }
      share = all ? 100 * bad / all : 0
      printf "%s  %s: %d of %d refused from %.1f s on (%.1f%%)\n",
          (share > most ? "LOST" : "ok  "), day, bad, all, ended + settle, share
      if (share <= most) exit 0
      for (k in count)
        printf "      %s: %d, %.2f s to %.2f s\n", k, count[k], first[k],
            last[k]
      exit 1
    }' "$2"
}

play() {  # label, then the arguments of 'run'
  local label=$1
  shift
  "$bench" run "$site" "$@" --log all >"$work/day" 2>&1
  judge "$label" "$work/day"
}

if [ "$1" != "hunt" ]; then
  day=$1
  shift
  play "$day $*" "$day" "$@"
  exit $?
fi

days=$2
shift 2
"$bench" hunt "$site" --days "$days" "$@" >"$work/hunt" 2>&1
grep -E "with a rule broken|BROKEN" "$work/hunt"
lost=0 played=0
while read -r day; do
  read -r -a words <<<"$day"
  played=$((played + 1))
  play "$day" "${words[@]}" "$@" || lost=$((lost + 1))
done < <(grep -oE '^[^ ]+( --vary)? --seed [0-9]+' "$work/hunt")
echo "$played days played again, $lost with lost worth"
[ "$lost" -eq 0 ] && [ "$played" -gt 0 ]
