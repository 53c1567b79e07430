#!/bin/sh
# Starts a toy engine, three control servers as one group, and a proxy that follows the group, until Ctrl-C.
# Then, from another terminal:
#   export GAUGESTEP_CONTROL=127.0.0.1:9401,127.0.0.1:9411,127.0.0.1:9421
#   target/release/gaugestep-control members
#   target/release/gaugestep-control duties
#   target/release/gaugestep-control publish examples/versions/document.textproto
#   target/release/gaugestep-control hand-over
set -eu
cd "$(dirname "$0")/../.."
control=target/release/gaugestep-control
export GAUGESTEP_CONTROL=127.0.0.1:9401
mkdir -p found
trap 'kill $(jobs -p)' EXIT
python3 examples/toy_database.py &
for member in 1 2 3; do
  "$control" serve --config "examples/group/control-$member.textproto" &
done
# The first control server is a group of one member. The others are added one at a time, and vote once they
# have caught up.
until "$control" members >/dev/null 2>&1; do sleep 0.2; done
for member in 2 3; do
  "$control" members | grep -q "^ *$member " ||
    until "$control" members add "$member" "127.0.0.1:94$((member - 1))0" "127.0.0.1:94$((member - 1))1"; do sleep 0.2; done
done
target/release/gaugestep serve --config examples/config.json --operator examples/group/operator.textproto &
wait
