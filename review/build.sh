#!/bin/sh
# The stand-ins of the cases are review/standins/standins.py, on Python's standard library alone: nothing is compiled.
# Checks that each file can be read by the interpreter that run.sh uses.
cd "$(dirname "$0")" || exit 2
python=/usr/bin/python3
[ -x "$python" ] || python=$(command -v python3) || { echo "python3 is missing"; exit 2; }
for file in standins/standins.py [123]/case.py; do
    "$python" -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
