"""All error kinds, and the HTTP status and exit code of each."""

import enum

import msgspec

__all__ = ["Answer", "ErrorKind", "Problem", "Ran", "answer_for"]

PROBLEM_CONTENT_TYPE = "application/problem+json"
_TYPE_PREFIX = "urn:sesamearch:problem:"


class Ran(enum.Enum):
    """Whether an endpoint executed a request that failed.

    ``NOT_RUN`` is used only if no byte of the request can have reached an endpoint, or
    if the endpoint itself refused the request.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ErrorKind(enum.Enum):
    """Kinds of expected failures."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    HEADER_TOO_LARGE = "header-too-large"
    SLOW_SENDER = "slow-sender"
    UNKNOWN_ORGANISATION = "unknown-organisation"
    UNKNOWN_MODEL = "unknown-model"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_CALL = "unknown-call"
    BAD_CURSOR = "bad-cursor"
    FORGED_CURSOR = "forged-cursor"
    NO_ENDPOINT = "no-endpoint"
    OVERLOADED = "overloaded"
    DEADLINE_PASSED = "deadline-passed"
    TIMED_OUT = "timed-out"
    REQUEST_QUARANTINED = "request-quarantined"
    DRAINING = "draining"
    CALLER_LEFT = "caller-left"
    HAND_OVER = "hand-over"
    GENERATION_LOST = "generation-lost"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_INVALID = "idempotency-key-invalid"
    KEY_EXPIRED = "idempotency-key-expired"
    KEY_REUSED = "idempotency-key-reused"
    OPERATION_RUNNING = "operation-running"
    OPERATION_UNKNOWN = "operation-unknown"
    OPERATION_RAN = "operation-ran"
    OPERATION_NOT_RUN = "operation-not-run"
    OPERATION_NOT_FOUND = "operation-not-found"
    ENDPOINT_LOST = "endpoint-lost"
    STORE_UNAVAILABLE = "store-unavailable"
    CONFIGURATION_INVALID = "configuration-invalid"
    CONFIGURATION_CONFLICT = "configuration-conflict"
    CONFIGURATION_MISSING = "configuration-missing"
    UNREACHABLE = "unreachable"
    PROXY_REFUSED = "proxy-refused"
    INCOMPLETE_ANSWER = "incomplete-answer"
    INTERNAL = "internal"


class Answer(msgspec.Struct, frozen=True):
    """How an error kind is reported to callers and on the command line.

    Parameters
    ----------
    status : int
        HTTP status code.
    title : str
        Short description, the same for every occurrence.
    ran : Ran
        Whether an endpoint executed the request.
    exit_code : int
        Exit status of the command line.
    retry_after_s : float or None
        Default delay before a retry, None if a retry cannot help.
    """

    status: int
    title: str
    ran: Ran
    exit_code: int
    retry_after_s: float | None = None


_ANSWERS = {
    ErrorKind.BAD_REQUEST: Answer(400, "Malformed request", Ran.NOT_RUN, 2),
    ErrorKind.BODY_TOO_LARGE: Answer(413, "Body too large", Ran.NOT_RUN, 2),
    ErrorKind.HEADER_TOO_LARGE: Answer(431, "Header too large", Ran.NOT_RUN, 2),
    ErrorKind.SLOW_SENDER: Answer(408, "Request sent too slowly", Ran.NOT_RUN, 5, 1),
    ErrorKind.UNKNOWN_ORGANISATION: Answer(401, "Unknown API key", Ran.NOT_RUN, 3),
    ErrorKind.UNKNOWN_MODEL: Answer(404, "Unknown model", Ran.NOT_RUN, 3),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, "Unknown service", Ran.NOT_RUN, 3),
    ErrorKind.UNKNOWN_CALL: Answer(404, "Unknown call", Ran.NOT_RUN, 3),
    ErrorKind.BAD_CURSOR: Answer(400, "Malformed cursor", Ran.NOT_RUN, 2),
    ErrorKind.FORGED_CURSOR: Answer(403, "Cursor not accepted", Ran.NOT_RUN, 3),
    ErrorKind.NO_ENDPOINT: Answer(503, "No endpoint available", Ran.NOT_RUN, 5, 1),
    ErrorKind.OVERLOADED: Answer(429, "Too busy", Ran.NOT_RUN, 5, 1),
    ErrorKind.DEADLINE_PASSED: Answer(504, "Deadline passed", Ran.NOT_RUN, 5, 1),
    ErrorKind.TIMED_OUT: Answer(504, "Timed out", Ran.UNKNOWN, 6),
    ErrorKind.REQUEST_QUARANTINED: Answer(
        503, "Request ends endpoints", Ran.NOT_RUN, 5, 60
    ),
    ErrorKind.DRAINING: Answer(503, "Shutting down", Ran.NOT_RUN, 5, 0),
    ErrorKind.CALLER_LEFT: Answer(499, "Caller left", Ran.UNKNOWN, 5),
    ErrorKind.HAND_OVER: Answer(503, "Come back with the cursor", Ran.UNKNOWN, 5, 0),
    ErrorKind.GENERATION_LOST: Answer(502, "Generation lost", Ran.UNKNOWN, 6, 1),
    ErrorKind.KEY_REQUIRED: Answer(400, "Idempotency-Key required", Ran.NOT_RUN, 2),
    ErrorKind.KEY_INVALID: Answer(400, "Idempotency-Key malformed", Ran.NOT_RUN, 2),
    ErrorKind.KEY_EXPIRED: Answer(410, "Idempotency-Key too old", Ran.UNKNOWN, 6),
    ErrorKind.KEY_REUSED: Answer(
        422, "Idempotency-Key used for another request", Ran.NOT_RUN, 3
    ),
    ErrorKind.OPERATION_RUNNING: Answer(409, "Still running", Ran.UNKNOWN, 6, 1),
    ErrorKind.OPERATION_UNKNOWN: Answer(502, "Outcome unknown", Ran.UNKNOWN, 6, 2),
    ErrorKind.OPERATION_RAN: Answer(409, "Already ran", Ran.RAN, 6),
    ErrorKind.OPERATION_NOT_RUN: Answer(409, "Has not run", Ran.NOT_RUN, 5, 0),
    ErrorKind.OPERATION_NOT_FOUND: Answer(404, "No such operation", Ran.UNKNOWN, 3),
    ErrorKind.ENDPOINT_LOST: Answer(502, "Endpoint lost", Ran.UNKNOWN, 5, 1),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, "Store unavailable", Ran.NOT_RUN, 5, 2),
    ErrorKind.CONFIGURATION_INVALID: Answer(400, "Invalid", Ran.NOT_RUN, 2),
    ErrorKind.CONFIGURATION_CONFLICT: Answer(409, "Conflict", Ran.NOT_RUN, 4),
    ErrorKind.CONFIGURATION_MISSING: Answer(
        503, "No configuration in force yet", Ran.NOT_RUN, 5, 1
    ),
    ErrorKind.UNREACHABLE: Answer(503, "Unreachable", Ran.UNKNOWN, 5, 1),
    ErrorKind.PROXY_REFUSED: Answer(
        403, "Not accepted from another router", Ran.NOT_RUN, 3
    ),
    ErrorKind.INCOMPLETE_ANSWER: Answer(502, "Incomplete answer", Ran.UNKNOWN, 6, 1),
    ErrorKind.INTERNAL: Answer(500, "Internal error", Ran.UNKNOWN, 1, 1),
}


def answer_for(kind):
    """Return the :class:`Answer` of an :class:`ErrorKind`."""
    return _ANSWERS[kind]


class _ProblemDetails(msgspec.Struct, omit_defaults=True):
    """RFC 9457 problem details with three extension members."""

    type: str
    title: str
    status: int
    ran: str
    detail: str = ""
    retry_after_s: float | None = None
    ask_again: str = ""


class Problem(msgspec.Struct, frozen=True):
    """An expected failure, reported as RFC 9457 problem details or as text.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the failure.
    detail : str
        Description of this occurrence.
    retry_after_s : float or None
        Delay before a retry; overrides the default of the kind.
    ask_again : str
        Path at which the caller can query the outcome, empty if there is none.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float | None = None
    ask_again: str = ""

    @property
    def answer(self):
        """Answer : status, title and exit code of this kind."""
        return _ANSWERS[self.kind]

    @property
    def retry_delay_s(self):
        """Float or None : delay after which a retry can help."""
        if self.retry_after_s is not None:
            return self.retry_after_s
        return self.answer.retry_after_s

    def to_json(self):
        """Return the RFC 9457 problem document as bytes."""
        answer = self.answer
        return msgspec.json.encode(
            _ProblemDetails(
                type=_TYPE_PREFIX + self.kind.value,
                title=answer.title,
                status=answer.status,
                ran=answer.ran.value,
                detail=self.detail,
                retry_after_s=self.retry_delay_s,
                ask_again=self.ask_again,
            )
        )

    def to_text(self):
        """Return the problem as one line of text."""
        answer = self.answer
        text = f"{answer.title}: {self.detail}" if self.detail else answer.title
        return f"{text} [{answer.ran.value}]"

    @classmethod
    def from_json(cls, body):
        """Decode a problem from an RFC 9457 problem document.

        Raises
        ------
        msgspec.DecodeError
            If the body is not a problem document.
        ValueError
            If the kind is unknown.
        """
        details = msgspec.json.decode(body, type=_ProblemDetails)
        kind = ErrorKind(details.type.removeprefix(_TYPE_PREFIX))
        return cls(kind, details.detail, details.retry_after_s, details.ask_again)
