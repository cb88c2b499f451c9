#!/bin/sh
# The stand-ins of the scripts are Python without packages: nothing is
# compiled, and only their syntax is checked. The product is built by the
# deploy file.
cd "$(dirname "$0")/.." || exit 2
for file in review/harness2.py review/[4-6]/*.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
        "$file" || exit 1
done
