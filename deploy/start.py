"""Start a router where the platform runs it: sources and libraries lie beside it."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

from sesamearch.command.front import main  # noqa: E402

sys.exit(main())
