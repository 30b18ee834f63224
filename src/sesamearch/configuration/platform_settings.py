"""Settings of a router on a platform that provides the settings of each process."""

import msgspec

from sesamearch.configuration.settings import PeerSettings

__all__ = ["PlatformBounds", "PlatformRouterSettings"]

PROXY_PORT_OFFSET = 2


class PlatformBounds(msgspec.Struct, frozen=True):
    """Limits that the platform sets for routers.

    Parameters
    ----------
    contact_s : float
        Time after which a router that nothing disturbs any more must know what the
        store holds, whichever of its connections fell silent meanwhile.
    drain_s : float
        Time after which a leaving endpoint gets no more requests.
    grace_s : float
        Time from the termination signal until the process is killed.
    retry_ratio, retry_window_s, retry_slack : float
        Retry budget of all routers together: retries per request within the
        sliding window, and retries beyond that.
    exposure_ratio, exposure_slack : float
        Exposure of a bad version during a rollout: the share of requests that it
        may get, and requests beyond that.
    rollback_s : float
        Time after which a failed version gets no more requests.
    reuse_after_s : float
        Time from the end of an endpoint until its address may belong to another
        service.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    retry_ratio: float = 0.8
    retry_window_s: float = 10.0
    retry_slack: float = 150.0
    exposure_ratio: float = 0.1
    exposure_slack: float = 50.0
    rollback_s: float = 5.0
    reuse_after_s: float = 2.0


class PlatformRouterSettings(msgspec.Struct, frozen=True):
    """Settings of one router process.

    Parameters
    ----------
    name, data_centre : str
        Name of this router, and its data centre.
    listen : str
        Address for callers.
    readiness_listen : str
        Address for the load balancer's readiness checks.
    metrics_listen : str
        Address that serves metrics, empty for none.
    store_address : str
        Address of the platform's key-value service.
    peer : PeerSettings
        Link to the other routers; its keys are in the store.
    bounds : PlatformBounds
        The platform's limits.
    link_mbps : int
        Bandwidth of the VM's network link; the routers with the highest bandwidth
        relay messages for the others.
    memory_mb : int
        Memory of the VM, in MiB.
    max_fds : int
        Descriptors that the process may open.
    proxy_listen : str or None
        Address for requests of other routers, empty for none. None for the second port
        after that of the link to the other routers.
    """

    name: str
    data_centre: str
    listen: str
    readiness_listen: str
    metrics_listen: str
    store_address: str
    peer: PeerSettings
    bounds: PlatformBounds = PlatformBounds()
    link_mbps: int = 1000
    memory_mb: int = 256
    max_fds: int = 4096
    proxy_listen: str | None = None

    @property
    def proxy_address(self):
        """Str : ``ip:port`` for requests of other routers; empty for none."""
        if self.proxy_listen is not None:
            return self.proxy_listen
        host, _, port = self.peer.listen.rpartition(":")
        return f"{host}:{int(port) + PROXY_PORT_OFFSET}"
