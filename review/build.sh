#!/bin/sh
# Builds the stand-ins of the review. They are Python programs that use the standard library only, so there is
# nothing to compile; this checks that an interpreter is there and that it reads them.
set -eu
cd "$(dirname "$0")"
for file in stand-ins/*.py [0-9]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
