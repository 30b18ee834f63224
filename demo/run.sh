#!/bin/sh
# Starts the processes of the demo, runs it, and stops only the processes it started.
set -u
bin=$1
demo_dir=$(cd "$(dirname "$0")" && pwd)
work_dir=$demo_dir/../.demo
rm -rf "$work_dir"
mkdir -p "$work_dir/pids"
"$bin/sesamearch" keys new cursor --out "$work_dir/cursor.key" >/dev/null || exit 1
"$bin/sesamearch" keys new peer --out "$work_dir/peer-keys.yaml" >/dev/null || exit 1

start() {
    name=$1
    shift
    "$bin/sesamearch" "$@" >"$work_dir/$name.log" 2>&1 &
    echo $! >"$work_dir/pids/$name"
}

stop_all() {
    for file in "$work_dir"/pids/*; do
        kill "$(cat "$file")" 2>/dev/null
    done
    wait
}
trap stop_all EXIT
trap 'exit 130' INT TERM

start store standin store --listen 127.0.0.1:18401 --vms "$demo_dir/vms.yaml"
for n in 1 2 3 4; do
    start engine-$n standin engine --listen 127.0.0.1:1850$n --version-name v1
done
start ticketing-1 standin service --listen 127.0.0.1:18601 --version-name v1
for n in 1 2 3; do
    start router-$n router --settings "$demo_dir/router-$n.yaml"
done
"$bin/python" "$demo_dir/play.py" "$work_dir/pids"
