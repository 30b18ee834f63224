"""The clock on which every deadline of a process is stored."""

import time

__all__ = ["BOOT_CLOCK", "BootClock"]


class BootClock:
    """Read seconds since boot, counting time spent suspended.

    A paused VM must find its deadlines passed when it returns; the wall clock
    may be set back, and the ordinary monotonic clock stops during a suspend.
    """

    __slots__ = ()

    def seconds(self):
        """Return seconds since boot as a float."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


BOOT_CLOCK = BootClock()
