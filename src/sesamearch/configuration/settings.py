"""Settings of one router process, read once at startup."""

from pathlib import Path
from typing import Annotated

import msgspec
from result import Err, Ok

from sesamearch.base.schema import Fault, check, load_yaml

__all__ = [
    "DrainSettings",
    "LimitSettings",
    "PeerSettings",
    "RouterSettings",
    "StoreSettings",
    "TlsSettings",
    "load_settings",
]

MIN_SECRET_BYTES = 32

Address = Annotated[str, msgspec.Meta(pattern=r"^\d+\.\d+\.\d+\.\d+:\d+$")]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]*$")]
Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class _Section(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of the settings sections; unknown keys are rejected."""


class StoreSettings(_Section):
    """Connection to the platform's key-value service.

    Parameters
    ----------
    addresses : list of str
        Addresses of the service; after a failure the next one is used.
    timeout_s : float
        Timeout for one call.
    claim_writes_per_s : float
        Maximum rate of store writes for claims, for all routers together.
    """

    addresses: Annotated[list[Address], msgspec.Meta(min_length=1)]
    timeout_s: Positive = 2.0
    claim_writes_per_s: Positive = 200.0


class PeerSettings(_Section):
    """Link to the other routers.

    Parameters
    ----------
    listen : str
        Address that the other routers connect to.
    seeds : list of str
        Addresses of routers to contact first.
    key_file : str
        File with the peer keys, written by ``sesamearch keys new``.
    heartbeat_interval_s : float
        Time between two heartbeats.
    """

    listen: Address
    key_file: str
    seeds: list[Address] = []
    heartbeat_interval_s: Positive = 1.0


class TlsSettings(_Section):
    """Certificate for connections from callers."""

    certificate_file: str
    private_key_file: str


class LimitSettings(_Section):
    """Limits on requests from callers.

    Parameters
    ----------
    body_bytes : int
        Largest request body.
    receive_timeout_s : float
        Timeout for receiving a request body.
    generations, operations : int
        Maximum number of generations and of operations in flight.
    memory_mb : int
        Memory that the process may use, in MiB; bounds what all callers hold.
    descriptors : int or None
        Descriptors that the process may open; bounds the connections of all callers.
        None for the limit that the system sets for the process.
    """

    body_bytes: Annotated[int, msgspec.Meta(gt=0)] = 1 << 20
    receive_timeout_s: Positive = 10.0
    generations: Annotated[int, msgspec.Meta(gt=0)] = 2000
    operations: Annotated[int, msgspec.Meta(gt=0)] = 500
    memory_mb: Annotated[int, msgspec.Meta(gt=0)] = 256
    descriptors: Annotated[int, msgspec.Meta(gt=0)] | None = None


class DrainSettings(_Section):
    """Timing of a graceful shutdown.

    Parameters
    ----------
    balancer_grace_s : float
        Time from "not ready" until new connections and requests are refused, for the
        load balancer to notice.
    timeout_s : float
        Time from the termination signal until running generations end with a cursor
        for the hand-off to another router.
    """

    balancer_grace_s: NotNegative = 3.0
    timeout_s: Positive = 600.0


class RouterSettings(_Section):
    """Settings of a router.

    Parameters
    ----------
    name, data_centre : str
        Name of this router, and its data centre.
    listen, operators_listen : str
        Addresses for callers and for operators.
    store : StoreSettings
        Connection to the platform's key-value service.
    cursor_key_file : str
        File with the secret that signs cursors, the same on every router.
    peer : PeerSettings or None
        Link to the other routers.
    tls : TlsSettings or None
        Certificate for callers; plain HTTP without it.
    limits : LimitSettings
        Limits on requests.
    drain : DrainSettings
        Timing of a graceful shutdown.
    metrics : str
        ``prometheus``, ``none`` or the URL of an OTLP/HTTP receiver.
    log_level : str
        Lowest level that is logged.
    """

    name: Name
    data_centre: Name
    listen: Address
    operators_listen: Address
    store: StoreSettings
    cursor_key_file: str
    peer: PeerSettings | None = None
    tls: TlsSettings | None = None
    limits: LimitSettings = LimitSettings()
    drain: DrainSettings = DrainSettings()
    metrics: Annotated[
        str, msgspec.Meta(pattern=r"^(prometheus|none|https?://.*)$")
    ] = "prometheus"
    log_level: Annotated[str, msgspec.Meta(pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")] = (
        "INFO"
    )


def load_settings(path):
    """Read and validate the settings of a router.

    Parameters
    ----------
    path : str or pathlib.Path
        YAML file; relative paths in it are relative to its folder.

    Returns
    -------
    result.Result[RouterSettings, list of Fault]
    """
    loaded = load_yaml(path)
    if loaded.is_err():
        return loaded
    checked = check(loaded.unwrap(), RouterSettings, str(path))
    if checked.is_err():
        return checked
    settings = _with_absolute_files(checked.unwrap(), Path(path).resolve().parent)
    faults = [
        Fault(str(path), key, "a readable file", name)
        for key, name in _named_files(settings)
        if not Path(name).is_file()
    ]
    if not faults and Path(settings.cursor_key_file).stat().st_size < MIN_SECRET_BYTES:
        expected = f"a secret of at least {MIN_SECRET_BYTES} bytes"
        faults = [Fault(str(path), "$.cursor_key_file", expected, "a shorter one")]
    return Err(faults) if faults else Ok(settings)


def _named_files(settings):
    yield "$.cursor_key_file", settings.cursor_key_file
    if settings.peer:
        yield "$.peer.key_file", settings.peer.key_file
    if settings.tls:
        yield "$.tls.certificate_file", settings.tls.certificate_file
        yield "$.tls.private_key_file", settings.tls.private_key_file


def _with_absolute_files(settings, folder):
    def absolute(section, *fields):
        if section is None:
            return None
        paths = {name: str(folder / getattr(section, name)) for name in fields}
        return msgspec.structs.replace(section, **paths)

    return msgspec.structs.replace(
        absolute(settings, "cursor_key_file"),
        peer=absolute(settings.peer, "key_file"),
        tls=absolute(settings.tls, "certificate_file", "private_key_file"),
    )
