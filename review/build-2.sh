#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. They are Python and run
# from the sources with the libraries of the deploy file's build; here they are only
# compiled, which shows that the libraries are there. Needs no network.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.." || exit 2
PYTHONPATH=target/deps:src python3 -c "import h11, msgspec, result, twisted, zmq" || exit 1
exec python3 -m compileall -q src/sesamearch/standin review/lib2 \
    review/6 review/7 review/8 review/9 review/10
