#!/usr/bin/env bash
# Fails if anything outside platform/ (and the deploy files) names the users'
# platform: its header fields, paths, topics or variables. Checks itself on a
# planted name first.
set -eu
cd "$(dirname "$0")/.."
names='X-(Attempt-Id|Deadline-Ms|Model|Token-Usage|Prompt-Prefix|Tenant|Expect-Instance|Request-Urgency|Not-Executed|Server-Seal|Hold|Pin-Ms|Kv-Backup)\b|/mangoport/|Store-Era|keyed\.|MANGOPORT_NODE_FILE|log-(append|read|newest|join)|fleetbench'
planted=$(mktemp)
trap 'rm -f "$planted"' EXIT
echo 'out.field = "X-Tenant";' >"$planted"
if ! grep -qE "$names" "$planted"; then
  echo "names: the planted name was not found"
  exit 1
fi
if git grep -nE "$names" -- lib include tools/mangoport-edge ':!lib/cli' ':!*/CMakeLists.txt' |
   grep -vE '#include "|_H_'; then
  echo "names: the lines above name the users' platform outside platform/"
  exit 1
fi
echo "names: only platform/ knows the users' platform"
