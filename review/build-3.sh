#!/bin/sh
# Builds the stand-ins of the third review's scripts; they have no libraries.
set -eu
cd "$(dirname "$0")"
python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' stand_ins_3.py
