#!/bin/sh
# run_case.sh FOLDER PROGRAM: runs a case's program in the repository's root,
# with a temporary folder for settings and logs. Exits with 0 if the rule held,
# 1 if it was broken and 2 if the case could not run.
case_folder=$(cd "$1" && pwd)
program=$2
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tools/mangoport-edge/mangoport-edge ] || exit 2
[ -x "review/support-3/build/$program" ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 115 "review/support-3/build/$program" "$folder" "$case_folder/record.txt"
result=$?
rm -rf "$folder"
[ "$result" -le 1 ] || result=2
exit "$result"
