"""``python -m sesamearch``."""

import sys

from sesamearch.cli import main

sys.exit(main())
