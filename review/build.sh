#!/bin/sh
# Checks that the stand-ins of the cases compile; they need only Python's
# standard library. The programs under test are built by deploy/system.toml.
set -e
cd "$(dirname "$0")"
for source in common/*.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
done
