"""Injects the faults of a plan into a deployment."""

import signal

from soak.link import LinkState
from soak.note import Command
from soak.plan import FaultKind

__all__ = ["Injector"]

LINK_DELAY_S = 0.3
REFUSAL_STATUS = 503
LOST_ANSWER_COUNT = 3
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
_RESPONSE_FAULTS = {
    FaultKind.ENDPOINT_MUTE: "mute",
    FaultKind.ENDPOINT_RESET: "reset",
    FaultKind.ENDPOINT_TRUNCATE: "truncate",
}


class Injector:
    """Injects faults, and undoes those with a duration when it is over.

    Parameters
    ----------
    reactor : twisted reactor
    deployment : soak.deployment.Deployment
    """

    def __init__(self, reactor, deployment):
        self._reactor = reactor
        self._deployment = deployment

    def inject(self, fault):
        """Start one fault.

        Parameters
        ----------
        fault : soak.plan.ScheduledFault
        """
        target = fault.kind.target
        if target == "router":
            self._inject_router_fault(fault, self._deployment.routers[fault.number])
        elif target == "endpoint":
            self._inject_endpoint_fault(fault, self._deployment.endpoints[fault.number])
        elif target == "store":
            self._inject_store_fault(fault)
        else:
            self._deployment.configure_soon()

    def _schedule_undo(self, fault, function, *arguments):
        self._reactor.callLater(fault.for_s, function, *arguments)

    def _inject_router_fault(self, fault, router):
        kind = fault.kind
        is_planned = kind.is_planned_work
        self._deployment.add_disturbance(
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
            router.callers.blackhole()
        else:
            name, state = _ROUTER_LINKS[kind]
            self._set_link_state(fault, getattr(router, name), state)

    def _pause(self, fault, process):
        process.signal(signal.SIGSTOP)
        self._schedule_undo(fault, process.signal, signal.SIGCONT)

    def _set_link_state(self, fault, link, state):
        link.set_state(state, LINK_DELAY_S)
        self._schedule_undo(fault, link.set_state, LinkState.NORMAL)

    def _inject_endpoint_fault(self, fault, endpoint):
        kind, process = fault.kind, endpoint.process
        if kind is FaultKind.ENDPOINT_LEAVE:
            if not endpoint.is_draining:
                endpoint.drain()
            return
        self._deployment.add_disturbance(fault.for_s, endpoint=endpoint.name)
        if kind is FaultKind.ENDPOINT_CRASH:
            endpoint.crash()
        elif kind is FaultKind.ENDPOINT_PAUSE:
            self._pause(fault, process)
        elif kind is FaultKind.ENDPOINT_FAILING:
            process.send_command(Command(status=500))
            self._schedule_undo(fault, process.send_command, Command(status=200))
        elif kind is FaultKind.ENDPOINT_LINK_RESET:
            endpoint.link.reset()
        elif kind is FaultKind.ENDPOINT_LINK_DEAD:
            endpoint.link.blackhole()
        elif kind in _RESPONSE_FAULTS:
            process.send_command(Command(fault=_RESPONSE_FAULTS[kind]))
            self._schedule_undo(fault, process.send_command, Command(fault=""))
        else:
            self._set_link_state(fault, endpoint.link, _ENDPOINT_LINKS[kind])

    def _inject_store_fault(self, fault):
        kind, store = fault.kind, self._deployment.store
        self._deployment.add_disturbance(fault.for_s)
        if kind is FaultKind.STORE_PAUSE:
            self._pause(fault, store)
        elif kind is FaultKind.STORE_REFUSE:
            store.send_command(Command(refusal=REFUSAL_STATUS))
            self._schedule_undo(fault, store.send_command, Command(refusal=0))
        elif kind is FaultKind.STORE_SILENT:
            store.send_command(Command(is_silent=True))
            self._schedule_undo(fault, store.send_command, Command(is_silent=False))
        elif kind is FaultKind.STORE_LOST_ANSWERS:
            store.send_command(Command(lost_answers=LOST_ANSWER_COUNT))
        else:
            store.send_command(Command(forgets=True))
