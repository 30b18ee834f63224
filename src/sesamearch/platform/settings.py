"""The platform's settings file, with one ``a.b=value`` entry per line."""

from pathlib import Path

from result import Err, Ok

from sesamearch.base.address import is_address
from sesamearch.base.schema import Fault
from sesamearch.configuration.platform_settings import (
    PlatformBounds,
    PlatformRouterSettings,
)
from sesamearch.configuration.settings import PeerSettings

__all__ = ["SETTINGS_VARIABLE", "load_platform_settings", "read_platform_settings"]

SETTINGS_VARIABLE = "SESAMEARCH_SETTINGS"
HEARTBEAT_INTERVAL_S = 0.25
DEFAULT_LINK_MBPS = 100
DEFAULT_MEMORY_MB = 256
DEFAULT_MAX_FDS = 4096
MS_PER_S = 1000.0


class _Entries:
    """Entries of a settings file, with a fault for each missing or malformed one."""

    __slots__ = ("_entries", "_file", "faults")

    def __init__(self, text, file):
        self._file = file
        self._entries = {}
        self.faults = []
        for number, line in enumerate(text.splitlines(), 1):
            key, equals, value = line.partition("=")
            if equals:
                self._entries[key.strip()] = value.strip()
            elif line.strip():
                self._fault(f"line {number}", "key=value", line.strip())

    def _fault(self, key, expected, found):
        self.faults.append(Fault(self._file, key, expected, found))

    def text(self, key):
        value = self._entries.get(key, "")
        if not value:
            self._fault(key, "a value", "nothing")
        return value

    def number(self, key, default):
        value = self._entries.get(key, "")
        if not value:
            return default
        try:
            return float(value)
        except ValueError:
            self._fault(key, "a number", value)
            return default

    def seconds(self, key, default):
        """Return in seconds a time that the file states in milliseconds."""
        return self.number(key, default * MS_PER_S) / MS_PER_S

    def address(self, key):
        value = self.text(key)
        if value and not is_address(value):
            self._fault(key, "ip:port", value)
        return value

    def addresses(self, key):
        values = [part.strip() for part in self._entries.get(key, "").split(",")]
        return [value for value in values if is_address(value)]

    def first_port(self, key):
        value = self.text(key).partition(",")[0]
        if value and not value.isdigit():
            self._fault(key, "port,port", value)
        return value

    def last_port(self, key):
        """Return the last port of a range, empty if the range has one port only."""
        first, _, last = self.text(key).partition(",")
        if last and not last.isdigit():
            self._fault(key, "port,port", self.text(key))
        return last if last != first else ""


def _address_of(host, port):
    return f"{host}:{port}" if port else ""


def read_platform_settings(text, file):
    """Read the content of a settings file.

    Parameters
    ----------
    text : str
    file : str
        Name used in faults.

    Returns
    -------
    result.Result[PlatformRouterSettings, list of Fault]
        Unknown keys are ignored, as the platform requires.
    """
    entries = _Entries(text, file)
    address = entries.text("ip")
    # Other processes of this system connect to the "control-plane" address. The seeds
    # are the control-plane addresses of other routers.
    peer = PeerSettings(
        listen=entries.address("listen.control-plane"),
        key_file="",
        seeds=entries.addresses("seeds"),
        heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
    )
    settings = PlatformRouterSettings(
        name=entries.text("node-name"),
        data_centre=entries.text("zone"),
        listen=entries.address("listen.frontend"),
        readiness_listen=entries.address("listen.readiness"),
        metrics_listen=f"{address}:{entries.first_port('internal-ports')}",
        proxy_listen=_address_of(address, entries.last_port("internal-ports")),
        store_address=entries.address("platform.address"),
        peer=peer,
        bounds=_read_bounds(entries),
        link_mbps=int(entries.number("limits.link-mbps", DEFAULT_LINK_MBPS)),
        memory_mb=int(entries.number("limits.memory-mb", DEFAULT_MEMORY_MB)),
        max_fds=int(entries.number("limits.max-fds", DEFAULT_MAX_FDS)),
    )
    return Err(entries.faults) if entries.faults else Ok(settings)


def _read_bounds(entries):
    default = PlatformBounds()
    return PlatformBounds(
        contact_s=entries.seconds("bounds.contact-ms", default.contact_s),
        drain_s=entries.seconds("bounds.drain-ms", default.drain_s),
        grace_s=entries.number("bounds.grace-s", default.grace_s),
        retry_ratio=entries.number("bounds.retry-budget-ratio", default.retry_ratio),
        retry_window_s=entries.number("bounds.budget-window-s", default.retry_window_s),
        retry_slack=entries.number("bounds.budget-slack", default.retry_slack),
        exposure_ratio=entries.number("bounds.exposure-share", default.exposure_ratio),
        exposure_slack=entries.number("bounds.exposure-slack", default.exposure_slack),
        reuse_after_s=entries.number("bounds.reuse-after-s", default.reuse_after_s),
        rollback_s=entries.seconds("bounds.rollback-ms", default.rollback_s),
    )


def load_platform_settings(path):
    """Read a settings file; see :func:`read_platform_settings`."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Fault(str(path), "$", "a readable UTF-8 file", str(error))])
    return read_platform_settings(text, str(path))
