"""Entry point for ``python -m sesamearch``."""

import sys

from sesamearch.command.main import main

sys.exit(main())
