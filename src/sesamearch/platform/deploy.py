"""The deploy file, which tells the platform how to build and start each role."""

import tomllib
from pathlib import Path

import msgspec
from result import Err, Ok

from sesamearch.base.schema import Fault, check

__all__ = ["DeployFile", "Role", "check_deploy"]


class Role(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A program that the platform starts on some of the VMs.

    Parameters
    ----------
    run : str
        Program and arguments, separated by spaces.
    on : str
        Class of VMs that the role runs on.
    share : float or None
        Fraction of the VMs of this class that run the role.
    count : int or None
        Number of VMs of this class in each data centre that run the role, as an
        alternative to `share`.
    apart : bool
        Whether the VMs are selected from the end of the list.
    serves : list of str
        Who may connect to the role: ``edge`` for callers, ``control`` for processes
        of this system only.
    metrics : str
        ``PORT/PATH`` of the metrics; empty for none.
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
    """Content of a deploy file.

    Parameters
    ----------
    build : str
        Shell command that is run at the root of the source tree.
    roles : dict from str to Role
    packages : list of str
        System packages that the build requires.
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
            yield Fault(file, f"{key}.run", "a file in the source tree", script)
    if role.share is not None and not 0 < role.share <= 1:
        yield Fault(file, f"{key}.share", "above 0, at most 1", str(role.share))
    port, slash, _ = role.metrics.partition("/")
    if role.metrics and not (slash and port.isdigit()):
        yield Fault(file, f"{key}.metrics", "PORT/PATH", role.metrics)
