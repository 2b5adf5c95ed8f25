#!/bin/sh
# Checks what the scripts of the third review need. Their stand-ins are Python files without
# dependencies, so there is nothing to compile; the program itself is built by the deploy file.
cd "$(dirname "$0")/.." || exit 2
python3 -c 'import tomllib' || { echo "Python 3.11 or later is needed"; exit 2; }
for file in review/standin-3/fleet.py review/1[245]/crowd.py review/13/crowd.py review/1[1-5]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 2
done
