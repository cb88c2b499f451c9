#!/bin/sh
# Builds the stand-ins of the scripts. They need the standard library of
# Python 3.11 only, so that nothing is built: their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in harness.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
