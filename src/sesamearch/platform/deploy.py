"""The deploy file, by which the platform builds and starts the roles."""

import tomllib
from pathlib import Path

import msgspec
from result import Err, Ok

from sesamearch.base.schema import Fault, check

__all__ = ["DeployFile", "Role", "check_deploy"]


class Role(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One role.

    Parameters
    ----------
    run : str
        Program and arguments, split at spaces.
    on : str
        Class of VMs.
    share : float or None
        Part of these VMs that runs it.
    count : int or None
        Number of them in each data centre instead.
    apart : bool
        Whether they are taken from the end of the order.
    serves : list of str
        Who may call it: ``edge`` for callers, ``control`` for nobody outside.
    metrics : str
        ``PORT/PATH``.
    template : str
    env : dict from str to str
    """

    run: str
    on: str
    share: float | None = None
    count: int | None = None
    apart: bool = False
    serves: list[str] = []
    metrics: str = ""
    template: str = ""
    env: dict[str, str] = {}


class DeployFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the platform builds and runs.

    Parameters
    ----------
    build : str
        Passed to a shell at the root of the sources.
    roles : dict from str to Role
    packages : list of str
        System packages that the build needs.
    """

    build: str
    roles: dict[str, Role]
    packages: list[str] = []


def check_deploy(path):
    """Check a deploy file.

    Returns
    -------
    result.Result[DeployFile, list of Fault]
    """
    name = str(path)
    try:
        document = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return Err([Fault(name, "$", "a readable TOML file", str(error))])
    checked = check(document, DeployFile, name)
    if checked.is_err():
        return checked
    root = Path(path).resolve().parent.parent
    faults = [
        fault
        for role_name, role in checked.unwrap().roles.items()
        for fault in _check_role(name, role_name, role, root)
    ]
    return Err(faults) if faults else Ok(checked.unwrap())


def _check_role(file, name, role, root):
    key = f"$.roles.{name}"
    scripts = [word for word in role.run.split()[1:] if word.endswith(".py")]
    for script in scripts:
        if not (root / script).is_file():
            yield Fault(file, f"{key}.run", "a file of the sources", script)
    if role.share is not None and not 0 < role.share <= 1:
        yield Fault(file, f"{key}.share", "above 0, at most 1", str(role.share))
    port, slash, _ = role.metrics.partition("/")
    if role.metrics and not (slash and port.isdigit()):
        yield Fault(file, f"{key}.metrics", "PORT/PATH", role.metrics)
