"""Does what a plan says to a deployment."""

import signal

from soak.link import LinkState
from soak.note import Order
from soak.plan import FaultKind

__all__ = ["Injector"]

DELAY_S = 0.3
REFUSAL = 503
LOST_ANSWERS = 3
_ROUTER_LINKS = {
    FaultKind.STORE_LINK_DELAY: ("store", LinkState.DELAYED),
    FaultKind.STORE_LINK_CUT: ("store", LinkState.CUT),
    FaultKind.CALLER_LINK_DELAY: ("callers", LinkState.DELAYED),
}
_ENDPOINT_LINKS = {
    FaultKind.ENDPOINT_LINK_DELAY: LinkState.DELAYED,
    FaultKind.ENDPOINT_LINK_CUT: LinkState.CUT,
    FaultKind.ENDPOINT_LINK_CUT_BACK: LinkState.CUT_BACK,
}
_ANSWERS = {
    FaultKind.ENDPOINT_MUTE: "mute",
    FaultKind.ENDPOINT_RESET: "reset",
    FaultKind.ENDPOINT_TRUNCATE: "truncate",
}


class Injector:
    """Injects faults; each undoes itself when its time is over.

    Parameters
    ----------
    reactor : twisted reactor
    deployment : soak.deployment.Deployment
    """

    def __init__(self, reactor, deployment):
        self._reactor = reactor
        self._deployment = deployment

    def inject(self, fault):
        """Begin one fault.

        Parameters
        ----------
        fault : soak.plan.PlannedFault
        """
        target = fault.kind.target
        if target == "router":
            self._do_to_router(fault, self._deployment.routers[fault.number])
        elif target == "endpoint":
            self._do_to_endpoint(fault, self._deployment.endpoints[fault.number])
        elif target == "store":
            self._do_to_store(fault)
        else:
            self._deployment.configure_soon()

    def _later(self, fault, function, *arguments):
        self._reactor.callLater(fault.for_s, function, *arguments)

    def _do_to_router(self, fault, router):
        kind = fault.kind
        is_planned = kind.is_planned_work
        self._deployment.disturb(
            fault.for_s, router=router.number, is_planned_work=is_planned
        )
        if kind is FaultKind.ROUTER_KILL:
            router.kill()
        elif kind is FaultKind.ROUTER_TERM:
            router.stop()
        elif kind is FaultKind.ROUTER_HUP:
            router.process.signal(signal.SIGHUP)
        elif kind is FaultKind.ROUTER_PAUSE:
            self._pause(fault, router.process)
        elif kind is FaultKind.STORE_LINK_RESET:
            router.store.reset()
        elif kind is FaultKind.CALLER_LINK_RESET:
            router.callers.reset()
        elif kind is FaultKind.CALLER_LINK_DEAD:
            router.callers.silence()
        else:
            name, state = _ROUTER_LINKS[kind]
            self._change(fault, getattr(router, name), state)

    def _pause(self, fault, process):
        process.signal(signal.SIGSTOP)
        self._later(fault, process.signal, signal.SIGCONT)

    def _change(self, fault, link, state):
        link.change(state, DELAY_S)
        self._later(fault, link.change, LinkState.CALM)

    def _do_to_endpoint(self, fault, endpoint):
        kind, process = fault.kind, endpoint.process
        if kind is FaultKind.ENDPOINT_LEAVE:
            if not endpoint.is_leaving:
                endpoint.leave()
            return
        self._deployment.disturb(fault.for_s, endpoint=endpoint.name)
        if kind is FaultKind.ENDPOINT_CRASH:
            endpoint.crash()
        elif kind is FaultKind.ENDPOINT_PAUSE:
            self._pause(fault, process)
        elif kind is FaultKind.ENDPOINT_FAILING:
            process.tell(Order(status=500))
            self._later(fault, process.tell, Order(status=200))
        elif kind is FaultKind.ENDPOINT_LINK_RESET:
            endpoint.link.reset()
        elif kind is FaultKind.ENDPOINT_LINK_DEAD:
            endpoint.link.silence()
        elif kind in _ANSWERS:
            process.tell(Order(fault=_ANSWERS[kind]))
            self._later(fault, process.tell, Order(fault=""))
        else:
            self._change(fault, endpoint.link, _ENDPOINT_LINKS[kind])

    def _do_to_store(self, fault):
        kind, store = fault.kind, self._deployment.store
        self._deployment.disturb(fault.for_s)
        if kind is FaultKind.STORE_PAUSE:
            self._pause(fault, store)
        elif kind is FaultKind.STORE_REFUSE:
            store.tell(Order(refusal=REFUSAL))
            self._later(fault, store.tell, Order(refusal=0))
        elif kind is FaultKind.STORE_SILENT:
            store.tell(Order(is_silent=True))
            self._later(fault, store.tell, Order(is_silent=False))
        elif kind is FaultKind.STORE_LOST_ANSWERS:
            store.tell(Order(lost_answers=LOST_ANSWERS))
        else:
            store.tell(Order(forgets=True))
