"""What operators publish: services, versions, calls and organisations."""

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


class _Part(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of every published structure: unknown keys are errors."""


class VersionShare(_Part):
    """One version of a service and the share of new requests that it gets."""

    name: Name
    share_ratio: Ratio


class ResumePolicy(_Part):
    """When a generation is moved to another endpoint.

    A smaller floor and ratio resume sooner and move more generations whose
    endpoint was only slow.

    Parameters
    ----------
    first_token_timeout_s : float
        Time to the first token of a new answer.
    resume_first_token_timeout_s : float
        Time to the first token of an attempt that continues one.
    stall_floor_s : float
        Least time without a token that counts as a stall.
    stall_gap_ratio : float
        A stall is also at least this many times the stream's mean token gap.
    reattach_timeout_s : float
        Time to reach a live attempt again before it is given up.
    resume_timeout_s : float
        Time from a loss to the final error.
    """

    first_token_timeout_s: Positive = 3.0
    resume_first_token_timeout_s: Positive = 1.0
    stall_floor_s: Positive = 0.4
    stall_gap_ratio: Positive = 8.0
    reattach_timeout_s: Positive = 0.25
    resume_timeout_s: Positive = 6.0


class EngineService(_Part, tag_field="kind", tag="engine"):
    """A model served by engines.

    Parameters
    ----------
    service : str
        Name of the service.
    model : str
        Model name that callers ask for.
    versions : list of VersionShare
        Shares sum to one.
    resume : ResumePolicy
        Latency of resuming against extra work.
    max_tokens : int
        Upper bound and default for one answer.
    timeout_s : float
        Time for a whole generation.
    checks_fencing : bool
        Whether the engines refuse orders with an old fencing number.
    """

    service: Name
    model: Annotated[str, msgspec.Meta(min_length=1)]
    versions: Annotated[list[VersionShare], msgspec.Meta(min_length=1)]
    resume: ResumePolicy = ResumePolicy()
    max_tokens: Annotated[int, msgspec.Meta(gt=0)] = 32768
    timeout_s: Positive = 1800.0
    checks_fencing: bool = False


class Call(_Part):
    """One call of a plain service.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path below the service, exact, or ending in ``/*``.
    retry : str
        ``idempotent`` calls may be repeated, ``at_most_once`` calls never are.
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


class PlainService(_Part, tag_field="kind", tag="plain"):
    """A plain service beside the engines.

    Parameters
    ----------
    service : str
        Name of the service; callers use ``/services/{service}/...``.
    versions : list of VersionShare
        Shares sum to one.
    calls : list of Call
        Calls that are routed. Anything else is refused as not run.
    timeout_s : float
        Time for one call, retries included.
    key_format : str
        ``uuid7``: keys carry their time, so that one older than the retention
        is recognised. ``any``: no such check.
    key_retention_s : float
        How long the outcome of a key is kept.
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


class Organisation(_Part):
    """Who may call.

    Parameters
    ----------
    name : str
        Name of the organisation.
    key_sha256 : list of str
        Hashes of its API keys; two during a change of key.
    """

    name: Name
    key_sha256: Annotated[
        list[Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]],
        msgspec.Meta(min_length=1),
    ]


class _OrganisationsFile(_Part):
    organisations: list[Organisation]


class Configuration(StoredValue, forbid_unknown_fields=True, frozen=True):
    """One accepted configuration.

    Parameters
    ----------
    revision : int
        Rises by one with each accepted publish; zero before the first.
    published_by : str
        Operator.
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
        """Return the :class:`PlainService` of that name, or None."""
        for service in self.services:
            if isinstance(service, PlainService) and service.service == name:
                return service
        return None


def hash_api_key(key):
    """Return the hash under which an API key is published."""
    return hashlib.sha256(key.encode()).hexdigest()


def collect(folder):
    """Collect the YAML files below a folder into one configuration.

    Parameters
    ----------
    folder : str or pathlib.Path
        Searched recursively for ``*.yaml``.

    Returns
    -------
    result.Result[Configuration, list of Fault]
        Revision zero; or every fault of every file.
    """
    services, organisations, faults = [], [], []
    paths = sorted(Path(folder).rglob("*.yaml"))
    if not paths:
        return Err([Fault(str(folder), "$", "at least one .yaml file", "none")])
    for path in paths:
        part = _load_part(path)
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


def _load_part(path):
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
            faults.append(Fault(path, "$.versions", "distinct names", "one twice"))
        faults += _claim(names, service.service, path, "$.service")
        if isinstance(service, EngineService):
            faults += _claim(models, service.model, path, "$.model")
    keys, organisation_names = {}, {}
    for organisation in organisations:
        faults += _claim(organisation_names, organisation.name, folder, "$.name")
        for key in organisation.key_sha256:
            faults += _claim(keys, key, organisation.name, "$.key_sha256")
    return faults


def _claim(owners, name, owner, key):
    if name in owners:
        found = f"{name}, already in {owners[name]}"
        return [Fault(owner, key, "a name used once", found)]
    owners[name] = owner
    return []


def decode_configuration(value):
    """Rebuild a configuration from its stored form.

    Returns
    -------
    result.Result[Configuration, str]
    """
    try:
        return Ok(Configuration.from_json(value))
    except msgspec.DecodeError as error:
        return Err(str(error))
