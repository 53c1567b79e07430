#!/bin/sh
# Puts what the bench wants beside a site file where the variants are: the names on the wire and on the sockets, and the
# troubles that may be played. They stay outside the repository (.gitignore).
#   deploy/sites/link.sh FOLDER     the folder of the bench's own site file
set -eu
from=$(cd "$1" && pwd)
here=$(cd "$(dirname "$0")" && pwd)
for name in real.json wire.json unlock.txt; do
    test -f "$from/$name" || { echo "link.sh: $from has no $name" >&2; exit 1; }
    ln -sfn "$from/$name" "$here/$name"
done
