"""Published configurations: services, versions, calls and organisations."""

import hashlib
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from result import Err, Ok

from sesamearch.base.schema import Fault, check, load_yaml
from sesamearch.store.store import StoredValue

__all__ = [
    "Call",
    "Configuration",
    "EngineService",
    "Organisation",
    "PlainService",
    "ResumePolicy",
    "Retry",
    "VersionShare",
    "collect",
    "decode_configuration",
    "hash_api_key",
]

MAX_VALUE_BYTES = 1 << 20
SHARE_TOLERANCE_RATIO = 1e-6

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]*$")]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Retry = Literal["idempotent", "at_most_once"]


class _PublishedStruct(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of the published structures; unknown keys are rejected."""


class VersionShare(_PublishedStruct):
    """A version of a service and its share of the new requests."""

    name: Name
    share_ratio: Ratio


class ResumePolicy(_PublishedStruct):
    """Timeouts after which a generation is resumed on another endpoint.

    A smaller floor and ratio detect stalls sooner, but also move more generations
    whose endpoint is merely slow.

    Parameters
    ----------
    first_token_timeout_s : float
        Timeout for the first token of a new generation.
    resume_first_token_timeout_s : float
        Timeout for the first token of an attempt that continues a generation.
    stall_floor_s : float
        Shortest time without a token that counts as a stall.
    stall_gap_ratio : float
        A pause counts as a stall only if it is also this many times as long as the
        mean time between the stream's tokens.
    reattach_timeout_s : float
        Timeout for re-attaching to a running attempt before it is abandoned.
    resume_timeout_s : float
        Time from the loss of the last open attempt until the generation fails. Silent
        attempts stay open.
    """

    first_token_timeout_s: Positive = 3.0
    resume_first_token_timeout_s: Positive = 1.0
    stall_floor_s: Positive = 0.4
    stall_gap_ratio: Positive = 8.0
    reattach_timeout_s: Positive = 0.25
    resume_timeout_s: Positive = 6.0


class EngineService(_PublishedStruct, tag_field="kind", tag="engine"):
    """A model served by engines.

    Parameters
    ----------
    service : str
        Name of the service.
    model : str
        Model name in the callers' requests.
    versions : list of VersionShare
        Versions whose shares sum to one.
    resume : ResumePolicy
        Timeouts that detect a failed attempt; shorter ones resume a generation sooner
        and cause more extra work.
    max_tokens : int
        Maximum and default number of tokens of one generation.
    timeout_s : float
        Timeout for a whole generation.
    checks_fencing : bool
        Whether the engines refuse requests with an outdated fencing token.
    """

    service: Name
    model: Annotated[str, msgspec.Meta(min_length=1)]
    versions: Annotated[list[VersionShare], msgspec.Meta(min_length=1)]
    resume: ResumePolicy = ResumePolicy()
    max_tokens: Annotated[int, msgspec.Meta(gt=0)] = 32768
    timeout_s: Positive = 1800.0
    checks_fencing: bool = False


class Call(_PublishedStruct):
    """A call that a plain service offers.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path below the service: an exact path, or a prefix followed by ``/*``.
    retry : str
        ``idempotent`` calls may be retried, ``at_most_once`` calls are never retried.
    """

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    path: Annotated[str, msgspec.Meta(pattern=r"^/")]
    retry: Retry

    def matches(self, method, path):
        """Return whether this entry covers `method` and `path`."""
        if method != self.method:
            return False
        if self.path.endswith("/*"):
            return path.startswith(self.path[:-1])
        return path == self.path


class PlainService(_PublishedStruct, tag_field="kind", tag="plain"):
    """A service that is not an engine and serves ordinary HTTP calls.

    Parameters
    ----------
    service : str
        Name of the service; callers use ``/services/{service}/...``.
    versions : list of VersionShare
        Versions whose shares sum to one.
    calls : list of Call
        Calls that are routed. Any other call is refused as not run.
    timeout_s : float
        Timeout for one call, retries included.
    key_format : str
        Format of idempotency keys. ``uuid7`` keys contain their creation time, so
        that a key older than the retention is recognised; ``any`` skips this check.
    key_retention_s : float
        How long the outcome of an idempotency key is kept.
    """

    service: Name
    versions: Annotated[list[VersionShare], msgspec.Meta(min_length=1)]
    calls: list[Call]
    timeout_s: Positive = 10.0
    key_format: Literal["uuid7", "any"] = "uuid7"
    key_retention_s: Positive = 86400.0

    def find_call(self, method, path):
        """Return the first matching :class:`Call`, or None."""
        return next((c for c in self.calls if c.matches(method, path)), None)


class Organisation(_PublishedStruct):
    """An organisation that may send requests.

    Parameters
    ----------
    name : str
        Name of the organisation.
    key_sha256 : list of str
        SHA-256 hashes of its API keys; two while a key is being rotated.
    """

    name: Name
    key_sha256: Annotated[
        list[Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]],
        msgspec.Meta(min_length=1),
    ]


class _OrganisationsFile(_PublishedStruct):
    organisations: list[Organisation]


class Configuration(StoredValue, forbid_unknown_fields=True, frozen=True):
    """A configuration of the whole system.

    Parameters
    ----------
    revision : int
        Incremented by each accepted publish; zero before the first one.
    published_by : str
        Operator who published it.
    services : list of EngineService or PlainService
    organisations : list of Organisation
    """

    revision: int = 0
    published_by: str = ""
    services: list[EngineService | PlainService] = []
    organisations: list[Organisation] = []

    def engine_service(self, model):
        """Return the :class:`EngineService` for a model name, or None."""
        for service in self.services:
            if isinstance(service, EngineService) and service.model == model:
                return service
        return None

    def plain_service(self, name):
        """Return the :class:`PlainService` with a name, or None."""
        for service in self.services:
            if isinstance(service, PlainService) and service.service == name:
                return service
        return None


def hash_api_key(key):
    """Return the hash of an API key for publication."""
    return hashlib.sha256(key.encode()).hexdigest()


def collect(folder):
    """Read the YAML files below a folder into one configuration.

    Parameters
    ----------
    folder : str or pathlib.Path
        Searched recursively for ``*.yaml``.

    Returns
    -------
    result.Result[Configuration, list of Fault]
        A configuration with revision zero, or all faults of all files.
    """
    services, organisations, faults = [], [], []
    paths = sorted(Path(folder).rglob("*.yaml"))
    if not paths:
        return Err([Fault(str(folder), "$", "at least one .yaml file", "none")])
    for path in paths:
        part = _load_file(path)
        if part.is_err():
            faults += part.unwrap_err()
        elif isinstance(part.unwrap(), _OrganisationsFile):
            organisations += part.unwrap().organisations
        else:
            services.append((str(path), part.unwrap()))
    faults += _cross_check(services, organisations, str(folder))
    configuration = Configuration(
        services=[service for _, service in services], organisations=organisations
    )
    size_bytes = len(configuration.to_json())
    if size_bytes > MAX_VALUE_BYTES:
        expected = f"at most {MAX_VALUE_BYTES} bytes in all"
        faults.append(Fault(str(folder), "$", expected, f"{size_bytes} bytes"))
    return Err(faults) if faults else Ok(configuration)


def _load_file(path):
    loaded = load_yaml(path)
    if loaded.is_err():
        return loaded
    document = loaded.unwrap()
    if not isinstance(document, dict):
        return Err([Fault(str(path), "$", "a mapping", type(document).__name__)])
    if "organisations" in document:
        return check(document, _OrganisationsFile, str(path))
    kinds = {"engine": EngineService, "plain": PlainService}
    kind = document.get("kind")
    if kind not in kinds:
        return Err([Fault(str(path), "$.kind", "engine or plain", repr(kind))])
    return check(document, kinds[kind], str(path))


def _cross_check(services, organisations, folder):
    faults, names, models = [], {}, {}
    for path, service in services:
        total_ratio = sum(version.share_ratio for version in service.versions)
        if abs(total_ratio - 1) > SHARE_TOLERANCE_RATIO:
            found = f"{total_ratio:g}"
            faults.append(Fault(path, "$.versions", "shares that sum to 1", found))
        version_names = [version.name for version in service.versions]
        if len(set(version_names)) < len(version_names):
            faults.append(Fault(path, "$.versions", "distinct names", "a duplicate"))
        faults += _check_unique(names, service.service, path, "$.service")
        if isinstance(service, EngineService):
            faults += _check_unique(models, service.model, path, "$.model")
    keys, organisation_names = {}, {}
    for organisation in organisations:
        faults += _check_unique(organisation_names, organisation.name, folder, "$.name")
        for key in organisation.key_sha256:
            faults += _check_unique(keys, key, organisation.name, "$.key_sha256")
    return faults


def _check_unique(owners, name, owner, key):
    if name in owners:
        found = f"{name}, already in {owners[name]}"
        return [Fault(owner, key, "a name used once", found)]
    owners[name] = owner
    return []


def decode_configuration(value):
    """Decode a stored configuration.

    Returns
    -------
    result.Result[Configuration, str]
    """
    try:
        return Ok(Configuration.from_json(value))
    except msgspec.DecodeError as error:
        return Err(str(error))
