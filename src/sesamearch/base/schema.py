"""Validation of YAML files against typed structures."""

from pathlib import Path

import msgspec
from result import Err, Ok

__all__ = ["Fault", "check", "load_yaml"]


class Fault(msgspec.Struct, frozen=True):
    """A validation error in a file.

    Parameters
    ----------
    file : str
        Path of the file.
    key : str
        Key path inside the file, ``$`` for the whole document.
    expected, found : str
        Description of a valid value, and the value found.
    """

    file: str
    key: str
    expected: str
    found: str

    def to_text(self):
        """Return the fault as one line of text."""
        return f"{self.file}: {self.key}: expected {self.expected}, found {self.found}"


def load_yaml(path):
    """Read a YAML file.

    Parameters
    ----------
    path : str or pathlib.Path

    Returns
    -------
    result.Result[object, list of Fault]
        The parsed document, or one fault, with the line number if the YAML is invalid.
    """
    # Imported here because a router on the platform reads no YAML files.
    import yaml

    name = str(path)
    try:
        return Ok(yaml.safe_load(Path(path).read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError) as error:
        return Err([Fault(name, "$", "a readable UTF-8 file", str(error))])
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        return Err([Fault(name, f"line {line}", "valid YAML", str(error.problem))])


def check(document, kind, file):
    """Convert a parsed document to a typed structure.

    Parameters
    ----------
    document : object
        Output of :func:`load_yaml`.
    kind : type
        Type to convert to, a ``msgspec.Struct``.
    file : str
        File name to use in faults.

    Returns
    -------
    result.Result[kind, list of Fault]
        The structure, or all faults found.
    """
    try:
        return Ok(msgspec.convert(document, kind))
    except msgspec.ValidationError as error:
        faults = _describe(document, kind, file)
        return Err(faults or [Fault(file, "$", "a valid file", str(error))])


def _describe(document, kind, file):
    # Imported only for an invalid file, so that a running daemon does not keep this
    # library in memory.
    import jsonschema

    schema = msgspec.json.schema(kind)
    validator = jsonschema.Draft202012Validator(schema)
    errors = sorted(validator.iter_errors(document), key=lambda e: e.json_path)
    return [_fault(error, file) for error in errors]


def _fault(error, file):
    expected = f"{error.validator} {error.validator_value}"
    if error.validator == "additionalProperties":
        known = ", ".join(sorted(error.schema.get("properties", {})))
        unknown = sorted(set(error.instance) - set(error.schema["properties"]))
        return Fault(file, error.json_path, f"only {known}", ", ".join(unknown))
    if error.validator == "required":
        missing = [name for name in error.validator_value if name not in error.instance]
        return Fault(file, error.json_path, "key " + ", ".join(missing), "no such key")
    if error.validator == "anyOf":
        expected = " or ".join(str(option) for option in error.validator_value)
    return Fault(file, error.json_path, expected, repr(error.instance))
