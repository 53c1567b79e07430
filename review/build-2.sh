#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the programs of the deploy file: stand-ins in Python, which
# need no compiler. This checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 - stand-ins-2/rig.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PYTHON'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
