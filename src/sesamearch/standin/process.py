"""Stand-ins that run as processes of their own."""

import msgspec
from result import Ok
from twisted.web.server import Site

from sesamearch.base.schema import check, load_yaml
from sesamearch.configuration.follower import VM_PREFIX
from sesamearch.standin.engine import EngineSwitches, StandinEngine
from sesamearch.standin.service import ServiceSwitches, StandinService
from sesamearch.standin.store import StandinStore

__all__ = ["listen", "make_engine", "make_service", "make_store"]


class _VmList(msgspec.Struct, forbid_unknown_fields=True):
    vms: list[dict[str, str]]


def make_engine(reactor, version, switches):
    """Return a started :class:`StandinEngine`; `switches` is a dict."""
    engine = StandinEngine(reactor, version, msgspec.convert(switches, EngineSwitches))
    engine.start()
    return engine


def make_service(reactor, version, switches):
    """Return a :class:`StandinService`; `switches` is a dict."""
    return StandinService(reactor, version, msgspec.convert(switches, ServiceSwitches))


def make_store(reactor, vms_file):
    """Return a :class:`StandinStore` that contains a list of VMs.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTime
    vms_file : str or None
        YAML file with a list ``vms`` of entries with the fields of
        :class:`~sesamearch.configuration.follower.VmEntry`.

    Returns
    -------
    result.Result[StandinStore, list of Fault]
    """
    if vms_file is None:
        return Ok(_store_of(reactor, _VmList([])))
    loaded = load_yaml(vms_file).and_then(lambda d: check(d, _VmList, vms_file))
    return loaded.map(lambda vms: _store_of(reactor, vms))


def _store_of(reactor, vm_list):
    items = {
        VM_PREFIX + vm["name"].encode(): msgspec.json.encode(vm) for vm in vm_list.vms
    }
    return StandinStore(reactor, items)


def listen(reactor, standin, address):
    """Serve a stand-in at an address, ``ip:port``."""
    host, _, port = address.rpartition(":")
    site = Site(standin.app.resource())
    site.log = lambda request: None
    return reactor.listenTCP(int(port), site, interface=host)
