"""Settings of a router on a platform that tells each process where it runs."""

import msgspec

from sesamearch.configuration.settings import PeerSettings

__all__ = ["FrontBounds", "FrontSettings"]


class FrontBounds(msgspec.Struct, frozen=True):
    """The platform's limits that decisions keep.

    Parameters
    ----------
    drain_s : float
        Time after which a leaving endpoint gets nothing more.
    grace_s : float
        Time from the signal to stop until the process is killed.
    retry_ratio, retry_window_s, retry_slack : float
        Repeated sends, of all routers together.
    exposure_ratio, exposure_slack : float
        Requests that a bad version may get in a rollout.
    rollback_s : float
        Time after which a version that failed gets nothing more.
    reuse_after_s : float
        Time from an endpoint's end until another service may have its address.
    """

    drain_s: float = 2.0
    grace_s: float = 8.0
    retry_ratio: float = 0.8
    retry_window_s: float = 10.0
    retry_slack: float = 150.0
    exposure_ratio: float = 0.1
    exposure_slack: float = 50.0
    rollback_s: float = 5.0
    reuse_after_s: float = 2.0


class FrontSettings(msgspec.Struct, frozen=True):
    """Settings of one router process.

    Parameters
    ----------
    name, data_centre : str
        Who this router is, and where.
    listen : str
        Address for callers.
    readiness_listen : str
        Where the balancer asks whether callers may come.
    metrics_listen : str
        Where counters are read; empty for nowhere.
    store_address : str
        The platform's key-value service.
    peer : PeerSettings
        Link to the other routers; its keys lie in the store.
    bounds : FrontBounds
    link_mbps : int
        Of the VM's network link; the largest ones relay for the others.
    """

    name: str
    data_centre: str
    listen: str
    readiness_listen: str
    metrics_listen: str
    store_address: str
    peer: PeerSettings
    bounds: FrontBounds = FrontBounds()
    link_mbps: int = 1000
