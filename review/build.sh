#!/bin/sh
# Builds the stand-ins of the cases. They are Python scripts that use the standard library alone, so there is nothing to
# compile: their syntax is checked, and that an interpreter is there.
cd "$(dirname "$0")" || exit 1
for file in common/*.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
