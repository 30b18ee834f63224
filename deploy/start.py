"""Start a router on the platform, from the sources and libraries deployed with it."""

import signal
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

# The default action of SIGHUP terminates the process. A SIGHUP during the start stays
# pending until the router has installed its handler and unblocks the signal.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

from sesamearch.command.platform_router import main  # noqa: E402

sys.exit(main())
