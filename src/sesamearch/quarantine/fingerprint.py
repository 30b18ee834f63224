"""Names of whole requests, by which routers recognise the same request again."""

import hashlib

__all__ = ["RequestFingerprints"]

_PREFIX = "request-"
_DIGEST_BYTES = 8
_LENGTH_BYTES = 8
_PERSON = b"sesamearch-req"


class RequestFingerprints:
    """Names requests by a keyed hash of what makes them the same request.

    Two requests are the same if their method, host, target, organisation and body are.
    Their ids, keys and other headers may differ. Nobody without the secret can learn
    from a name what a request contains.
    """

    __slots__ = ("_key",)

    def __init__(self):
        self._key = None

    def set_secret(self, secret):
        """Derive the key of the hash from a secret that all routers share.

        Parameters
        ----------
        secret : str
        """
        self._key = hashlib.blake2b(secret.encode(), person=_PERSON).digest()

    def name(self, request, organisation=""):
        """Return the name of a request; empty without a secret.

        Parameters
        ----------
        request : CallerRequest
        organisation : str
            Name of the caller's organisation; empty on a public route.

        Returns
        -------
        str
        """
        if self._key is None:
            return ""
        digest = hashlib.blake2b(key=self._key, digest_size=_DIGEST_BYTES)
        caller = (request.host.encode(), organisation.encode())
        for field in (request.method, request.target, *caller, request.body):
            digest.update(len(field).to_bytes(_LENGTH_BYTES, "big"))
            digest.update(field)
        return _PREFIX + digest.hexdigest()

    @staticmethod
    def is_request(part):
        """Return whether a name is that of a whole request, not of a prompt's part."""
        return part.startswith(_PREFIX)
