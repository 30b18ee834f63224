"""Start a router where the platform runs it: sources and libraries lie beside it."""

import signal
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

# Held back until its handler stands: by default the signal ends the process.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

from sesamearch.command.platform_router import main  # noqa: E402

sys.exit(main())
