#!/bin/sh
# The stand-ins are Python sources that need only the standard library.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile harness.py */play.py
