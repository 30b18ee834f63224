"""Index of the endpoints by service, name and address."""

__all__ = ["EndpointIndex"]


class EndpointIndex:
    """Indexes the listed endpoints and follows changes of the list.

    Parameters
    ----------
    board : Blackboard
    health : HealthTracker
    """

    __slots__ = ("_board", "_by_address", "_born_ms", "_by_service", "_health")

    def __init__(self, board, health):
        self._board = board
        self._health = health
        self._by_service = {}
        self._by_address = {}
        self._born_ms = {}
        self._index(board.endpoints.value)
        board.endpoints.listen(self._index)

    def _index(self, endpoints):
        by_service = {}
        for endpoint in endpoints.values():
            if not endpoint.leaving:
                by_service.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = by_service
        self._by_address = _index_addresses(endpoints.values())
        self._health.discard_unlisted(endpoints.keys())
        for name, endpoint in endpoints.items():
            if self._born_ms.get(name, endpoint.born_ms) != endpoint.born_ms:
                self._health.reset(name)
        self._born_ms = {name: each.born_ms for name, each in endpoints.items()}

    def serving(self, service):
        """Return the endpoints of a service that are not leaving."""
        return self._by_service.get(service, [])

    def find(self, name):
        """Return the endpoint with the given name, or None."""
        return self._board.endpoints.value.get(name)

    def at_address(self, address):
        """Return the endpoint with the given address, or None."""
        return self._by_address.get(address)


def _index_addresses(endpoints):
    """Return the endpoints by address; a leaving one yields to its successor there."""
    by_address = {each.address: each for each in endpoints if each.leaving}
    by_address.update((each.address, each) for each in endpoints if not each.leaving)
    return by_address
