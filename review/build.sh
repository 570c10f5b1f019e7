#!/bin/sh
# The stand-ins need no build: they are Python with its standard library alone. This
# only checks that they can be read.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null
for it in support/standins.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it"
done
