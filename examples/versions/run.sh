#!/bin/sh
# Starts a toy engine, a control server and a proxy that follows it, until Ctrl-C.
# Then, from another terminal:
#   target/release/gaugestep-control publish examples/versions/document.textproto
set -eu
cd "$(dirname "$0")/../.."
mkdir -p found
trap 'kill $(jobs -p)' EXIT
python3 examples/toy_database.py &
target/release/gaugestep-control serve --config examples/versions/control.textproto &
target/release/gaugestep serve --config examples/config.json --operator examples/versions/operator.textproto &
wait
