"""Look-ups in the configuration in force."""

import hashlib

from result import Err, Ok

from sesamearch.base.errors import ErrorKind, Problem

__all__ = ["ServiceDirectory"]

_SCHEME = "Bearer "


class ServiceDirectory:
    """Finds organisations and services in the configuration in force.

    The index of API keys is rebuilt whenever a configuration takes effect.

    Parameters
    ----------
    board : Blackboard
    """

    __slots__ = ("_board", "_organisations")

    def __init__(self, board):
        self._board = board
        self._organisations = {}
        board.configuration.listen(self._index)
        self._index(board.configuration.value)

    def _index(self, configuration):
        self._organisations = {
            key: organisation.name
            for organisation in configuration.organisations
            for key in organisation.key_sha256
        }

    def organisation(self, authorization):
        """Return the name of the organisation that an API key belongs to.

        Parameters
        ----------
        authorization : str or None
            Value of the ``Authorization`` header.

        Returns
        -------
        result.Result[str, Problem]
        """
        if self._board.configuration.value.revision == 0:
            return Err(Problem(ErrorKind.CONFIGURATION_MISSING))
        if authorization and authorization.startswith(_SCHEME):
            key = authorization.removeprefix(_SCHEME).strip().encode()
            name = self._organisations.get(hashlib.sha256(key).hexdigest())
            if name is not None:
                return Ok(name)
        return Err(Problem(ErrorKind.UNKNOWN_ORGANISATION))

    def engine_service(self, model):
        """Return the engine service of a model, ``Result[EngineService, Problem]``."""
        service = self._board.configuration.value.engine_service(model)
        if service is None:
            return Err(Problem(ErrorKind.UNKNOWN_MODEL, model[:100]))
        return Ok(service)

    def plain_service(self, name):
        """Return the plain service with a name, ``Result[PlainService, Problem]``."""
        service = self._board.configuration.value.plain_service(name)
        if service is None:
            return Err(Problem(ErrorKind.UNKNOWN_SERVICE, name[:100]))
        return Ok(service)

    def models(self):
        """Return the model names in the order of the configuration."""
        services = self._board.configuration.value.services
        return [service.model for service in services if hasattr(service, "model")]
