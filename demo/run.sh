#!/bin/sh
# Starts the demonstration's processes, plays it, and stops just those processes.
set -u
bin=$1
here=$(cd "$(dirname "$0")" && pwd)
work=$here/../.demo
rm -rf "$work"
mkdir -p "$work/pids"
"$bin/sesamearch" keys new cursor --out "$work/cursor.key" >/dev/null || exit 1
"$bin/sesamearch" keys new peer --out "$work/peer-keys.yaml" >/dev/null || exit 1

start() {
    name=$1
    shift
    "$bin/sesamearch" "$@" >"$work/$name.log" 2>&1 &
    echo $! >"$work/pids/$name"
}

stop_all() {
    for file in "$work"/pids/*; do
        kill "$(cat "$file")" 2>/dev/null
    done
    wait
}
trap stop_all EXIT
trap 'exit 130' INT TERM

start store standin store --listen 127.0.0.1:18401 --vms "$here/vms.yaml"
for n in 1 2 3 4; do
    start engine-$n standin engine --listen 127.0.0.1:1850$n --version-name v1
done
start ticketing-1 standin service --listen 127.0.0.1:18601 --version-name v1
for n in 1 2 3; do
    start router-$n router --settings "$here/router-$n.yaml"
done
"$bin/python" "$here/play.py" "$work/pids"
