#!/usr/bin/env bash
# The stand-ins of the cases are Python files of the standard library alone; this checks them.
cd "$(dirname "$0")" || exit 1
for file in common/standins.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 1
done
