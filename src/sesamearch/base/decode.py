"""Decoding of documents that others write, whatever they hold."""

import msgspec
from result import Err, Ok

__all__ = ["decode_foreign"]


def decode_foreign(decode, data):
    """Decode a document of another writer.

    Parameters
    ----------
    decode : callable
        Decodes bytes; a ``msgspec`` decoder or a function that uses one.
    data : bytes

    Returns
    -------
    result.Result[object, str]
        The error says why it cannot be decoded. A document may also be nested more
        deeply than the decoder can follow, or hold a number that no type can.
    """
    try:
        return Ok(decode(data))
    except RecursionError:
        return Err("nested too deeply")
    except (msgspec.DecodeError, ValueError, OverflowError) as error:
        return Err(str(error))
