#!/bin/sh
# Starts a control server that manages a roster and ten proxies that follow it, until Ctrl-C.
# Then, from another terminal:
#   export GAUGESTEP_CONTROL=127.0.0.1:9401
#   target/release/gaugestep-control seats
#   pkill -f 'found/seats/n3.json'; sleep 8; target/release/gaugestep-control seats
set -eu
cd "$(dirname "$0")/../.."
export GAUGESTEP_CONTROL=127.0.0.1:9401
mkdir -p found/seats
trap 'kill $(jobs -p)' EXIT
target/release/gaugestep-control serve --config examples/versions/control.textproto &
until target/release/gaugestep-control declare seats >/dev/null 2>&1; do sleep 0.2; done
for number in 0 1 2 3 4 5 6 7 8 9; do
  # The configuration of the example, with another name and other ports for each proxy.
  sed "s/\"n0\"/\"n$number\"/; s/:9090/:92${number}0/; s/:9100/:93${number}0/; s/\"balancers\": 1/\"balancers\": 10/" \
    examples/config.json >"found/seats/n$number.json"
  echo "control { services: \"127.0.0.1:9400\" state: \"found/seats/n$number\" }" >"found/seats/n$number.textproto"
  target/release/gaugestep serve --config "found/seats/n$number.json" --operator "found/seats/n$number.textproto" &
done
wait
