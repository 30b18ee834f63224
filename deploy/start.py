"""Start a router on the platform, from the sources and libraries deployed with it."""

import signal
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

# Kept pending until its handler is installed; by default it ends the process.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

from sesamearch.command.platform_router import main  # noqa: E402

sys.exit(main())
