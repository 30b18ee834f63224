"""Decoding and encoding of the headers of requests and responses."""

import re

from sesamearch.forwarding.request import (
    CallerRequest,
    EndpointAnswer,
    LoadReport,
    PromptPart,
)
from sesamearch.wire.endpoint import OutgoingRequest
from sesamearch.wire.head import first_value, strip_hop_by_hop

__all__ = [
    "MAX_LIMIT_PER_S",
    "MAX_PAUSE_S",
    "decode_answer",
    "decode_prompt_parts",
    "decode_request",
    "encode_for_router",
    "encode_request",
    "find_request_id",
    "instance_of",
    "keep_alive_s",
    "request_id_of",
]

MS_PER_S = 1000.0
DEFAULT_DEADLINE_S = 60.0
MAX_DIGITS = 18
MAX_INTEGER = 10**MAX_DIGITS - 1
MAX_TOKENS = 10**9
_REQUEST_ID = b"x-attempt-id"
_DEADLINE = b"x-deadline-ms"
_MODEL = b"x-model"
# Number of prompt tokens and limit of output tokens, not the actual usage.
_TOKENS = b"x-token-usage"
_PROMPT = b"x-prompt-prefix"
_AFTER_EVENT = b"last-event-id"
_INSTANCE = b"x-instance-id"
_NOT_RUN = b"x-not-executed"
_SIGNATURE = b"x-response-signature"
_LOAD = b"x-server-load"
_LEAVING = b"server-leaving"
# Requests a second that the endpoint takes from all routers together.
_LIMIT = b"server-limit"
# Requests a second that the endpoint can turn away without falling over.
_BRITTLE = b"server-brittle"
_RETRY_AFTER = b"retry-after"
_UNAVAILABLE = 503
# Longest pause that is granted to an endpoint.
MAX_PAUSE_S = 600.0
# Highest limit that is told apart from a higher one.
MAX_LIMIT_PER_S = 1e6
# Highest number of refusals that is told apart from a higher one.
MAX_BRITTLE = 10**6
MAX_LOGGED_CHARACTERS = 32
_DECIMAL = re.compile(r"\d+(?:\.\d*)?|\.\d+", re.ASCII)
_AUTHORIZATION_SCHEME = "token "
# Headers that a caller's ``Connection`` header cannot remove, because the endpoint
# would run a different request without them.
_END_TO_END = frozenset(
    (_REQUEST_ID, _DEADLINE, _MODEL, _TOKENS, _PROMPT, _AFTER_EVENT)
)
# Headers that the router sets, replaces or consumes; a caller's values are not
# forwarded.
_NOT_FORWARDED = frozenset(
    (
        b"authorization",
        b"content-length",
        b"expect",
        b"kv-fetch",
        b"kv-from",
        b"x-expected-version",
        b"x-kv-backup",
        b"x-kv-hold",
        b"x-pin-ms",
        b"x-request-priority",
        b"x-target-instance",
        b"x-tenant",
        _DEADLINE,
        _AFTER_EVENT,
    )
)
_NOT_RETURNED = frozenset((b"content-length", b"transfer-encoding"))
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")
_REQUEST_ID_LINE = re.compile(rb"(?im)^x-attempt-id:[ \t]*([^\r\n]{1,64})")
_PROMPT_PART = re.compile(r"([0-9a-fA-F]+):(\d+)")


def _text(headers, name):
    value = first_value(headers, name)
    return value.decode("latin-1").strip() if value is not None else ""


def _integer(text):
    """Return the non-negative decimal integer, or None for any other text.

    A number with more than ``MAX_DIGITS`` digits is taken for the largest one: no
    header needs it, and arithmetic with it would overflow.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    significant = text.lstrip("0")
    return int(significant or "0") if len(significant) <= MAX_DIGITS else MAX_INTEGER


def request_id_of(headers):
    """Return the id of the caller's attempt; empty if it is not stated."""
    return _text(headers, _REQUEST_ID)


def find_request_id(data):
    """Return the first id in the bytes of a request; empty if there is none."""
    found = _REQUEST_ID_LINE.search(data)
    return found.group(1).decode("latin-1").strip() if found else ""


def instance_of(headers):
    """Return the name of the responding process; empty if it is not stated."""
    return _text(headers, _INSTANCE)


def decode_request(head, body, now_s, begun_s=None):
    """Decode a caller's request.

    Parameters
    ----------
    head : RequestHead
    body : bytes
    now_s : float
        Time of arrival on this process's clock.
    begun_s : float or None
        Time at which the request began to arrive, from which the caller's deadline is
        counted; by default `now_s`.

    Returns
    -------
    CallerRequest
    """
    headers = strip_hop_by_hop(head.headers, _END_TO_END)
    path, _, _ = head.target.partition(b"?")
    host = _text(headers, b"host").lower().partition(":")[0]
    prompt_tokens, output_tokens = _tokens(_text(headers, _TOKENS))
    deadline_ms = _integer(_text(headers, _DEADLINE).partition(".")[0])
    remaining_s = DEFAULT_DEADLINE_S if deadline_ms is None else deadline_ms / MS_PER_S
    waits_since_s = now_s if begun_s is None else begun_s
    if waits_since_s + remaining_s <= now_s:
        # A caller that is there after that time counts from the end of its request.
        waits_since_s = now_s
    return CallerRequest(
        request_id=request_id_of(headers),
        method=head.method,
        target=head.target,
        headers=[pair for pair in headers if pair[0].lower() not in _NOT_FORWARDED],
        body=body,
        host=host,
        path=path.decode("latin-1"),
        key=_key(_text(headers, b"authorization")),
        received_s=now_s,
        deadline_s=waits_since_s + remaining_s,
        after_event=_integer(_text(headers, _AFTER_EVENT)),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        prompt_parts=decode_prompt_parts(_text(headers, _PROMPT)),
    )


def _tokens(text):
    prompt, _, output = text.partition(",")
    return _token_count(prompt.strip()), _token_count(output.strip())


def _token_count(text):
    """Return a number of tokens, bounded so that the routers can send sums of them."""
    return min(_integer(text) or 0, MAX_TOKENS)


def decode_prompt_parts(text):
    """Return the list of :class:`PromptPart` of a prompt, ``ID:TOKENS,...``."""
    return [
        PromptPart(name, _token_count(tokens))
        for name, tokens in _PROMPT_PART.findall(text)
    ]


def _key(text):
    if text.lower().startswith(_AUTHORIZATION_SCHEME):
        return text[len(_AUTHORIZATION_SCHEME) :].strip()
    return ""


def encode_request(request, options, now_s):
    """Encode a request to one endpoint.

    Parameters
    ----------
    request : CallerRequest
    options : ForwardOptions
    now_s : float
        Current time on the clock of ``options.deadline_s``.

    Returns
    -------
    OutgoingRequest
    """
    remaining_ms = max(1, int((options.deadline_s - now_s) * MS_PER_S))
    headers = list(request.headers)
    headers.append((b"X-Deadline-Ms", b"%d" % remaining_ms))
    headers.append((b"X-Target-Instance", options.endpoint.name.encode()))
    if options.organisation:
        headers.append((b"X-Tenant", options.organisation.encode()))
    if options.after_event is not None:
        headers.append((b"Last-Event-Id", b"%d" % options.after_event))
    if options.urgency is not None:
        headers.append((b"X-Request-Priority", b"%d" % options.urgency))
    if options.backup_address:
        headers.append((b"X-Kv-Backup", options.backup_address.encode()))
    if options.copy is not None:
        source = f"{options.copy.source_address}/{options.copy.handle}"
        headers.append((b"Kv-From", source.encode()))
    return OutgoingRequest(
        request.method, request.target, headers, request.body, request.request_id
    )


def encode_for_router(request, options, now_s):
    """Encode a request to another router, as its caller sent it.

    Parameters
    ----------
    request : CallerRequest
    options : ForwardOptions
    now_s : float
        Current time on the clock of ``options.deadline_s``.

    Returns
    -------
    OutgoingRequest
    """
    remaining_ms = max(1, int((options.deadline_s - now_s) * MS_PER_S))
    headers = list(request.headers)
    headers.append((b"X-Deadline-Ms", b"%d" % remaining_ms))
    if request.key:
        headers.append((b"Authorization", b"Token " + request.key.encode("latin-1")))
    if options.after_event is not None:
        headers.append((b"Last-Event-Id", b"%d" % options.after_event))
    return OutgoingRequest(request.method, request.target, headers, request.body)


def decode_answer(head):
    """Decode the head of an endpoint's response.

    Parameters
    ----------
    head : ResponseHead

    Returns
    -------
    EndpointAnswer
    """
    headers = strip_hop_by_hop(head.headers)
    is_other_instance = head.status == 421
    pause_s, unusable_pause = _pause(head)
    limit_per_s, unusable_limit = _limit(head)
    brittle_per_s, unusable_brittle = _brittle(head)
    return EndpointAnswer(
        status=head.status,
        reason=head.reason,
        headers=[pair for pair in headers if pair[0].lower() not in _NOT_RETURNED],
        has_not_run=first_value(headers, _NOT_RUN) is not None,
        is_other_instance=is_other_instance,
        instance=instance_of(headers),
        is_signed=first_value(headers, _SIGNATURE) is not None,
        load=_load(_text(headers, _LOAD)),
        is_leaving=_text(head.headers, _LEAVING) == "1",
        pause_s=pause_s,
        unusable_pause=unusable_pause,
        limit_per_s=limit_per_s,
        unusable_limit=unusable_limit or unusable_brittle,
        brittle_per_s=brittle_per_s,
    )


def _pause(head):
    """Return the pause that an endpoint asks for, and its text if that is unusable.

    A pause that is too long is bounded; a malformed one counts as none.
    """
    if head.status != _UNAVAILABLE:
        return 0.0, ""
    text = _text(head.headers, _RETRY_AFTER)
    stated_s = float(text) if _DECIMAL.fullmatch(text) else 0.0
    is_malformed = bool(text) and not _DECIMAL.fullmatch(text)
    is_unusable = is_malformed or stated_s > MAX_PAUSE_S
    shown = text[:MAX_LOGGED_CHARACTERS] if is_unusable else ""
    return min(stated_s, MAX_PAUSE_S), shown


def _limit(head):
    """Return the limit that an endpoint names, and its text if that is unusable.

    A limit that is too high is bounded; a malformed one counts as none.
    """
    if first_value(head.headers, _LIMIT) is None:
        return None, ""
    text = _text(head.headers, _LIMIT)
    if not _DECIMAL.fullmatch(text):
        return None, text[:MAX_LOGGED_CHARACTERS] or "empty"
    return min(float(text), MAX_LIMIT_PER_S), ""


def _brittle(head):
    """Return how many refusals an endpoint bears, and the text if it is unusable."""
    if first_value(head.headers, _BRITTLE) is None:
        return None, ""
    text = _text(head.headers, _BRITTLE)
    number = _integer(text)
    if number is None or number > MAX_BRITTLE:
        return None, text[:MAX_LOGGED_CHARACTERS] or "empty"
    return number, ""


def _load(text):
    numbers = [_integer(part.strip()) for part in text.split(",")]
    # The fourth figure, how long work takes, is optional.
    if len(numbers) not in (3, 4) or None in numbers:
        return None
    return LoadReport(*numbers)


def keep_alive_s(head, default_s):
    """Return how long an endpoint keeps an idle connection.

    Parameters
    ----------
    head : ResponseHead
    default_s : float
        Result if the response does not state the time.
    """
    value = first_value(head.headers, b"keep-alive")
    found = _KEEP_ALIVE_TIMEOUT.search(value) if value else None
    return float(found.group(1)) if found else default_s
