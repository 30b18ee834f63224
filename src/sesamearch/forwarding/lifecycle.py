"""Lifecycle of a generation's answer, as its caller sees it."""

from typing import Protocol

from automat import TypeMachineBuilder

__all__ = ["GenerationInputs", "make_lifecycle"]


class GenerationInputs(Protocol):
    """What happens to an answer."""

    def began(self) -> None:
        """Handle the first event."""

    def broke(self) -> None:
        """Handle the loss of the engine."""

    def resumed(self) -> None:
        """Handle the first event after a break."""

    def ended(self) -> None:
        """Handle the end of the generation."""


class _Generation(Protocol):
    def log_resumed(self) -> None:
        """Log the first event after a break."""


def _build_machine():
    builder = TypeMachineBuilder(GenerationInputs, _Generation)
    reading = builder.state("reading")
    streaming = builder.state("streaming")
    broken = builder.state("broken")
    over = builder.state("over")
    reading.upon(GenerationInputs.began).to(streaming).returns(None)
    reading.upon(GenerationInputs.broke).loop().returns(None)
    streaming.upon(GenerationInputs.broke).to(broken).returns(None)
    broken.upon(GenerationInputs.broke).loop().returns(None)

    @broken.upon(GenerationInputs.resumed).to(streaming)
    def log_resumed(inputs, generation):
        generation.log_resumed()

    for state in (reading, streaming, broken):
        state.upon(GenerationInputs.ended).to(over).returns(None)
    over.upon(GenerationInputs.ended).loop().returns(None)
    return builder.build()


_machine = _build_machine()


def make_lifecycle(generation):
    """Return the machine of one generation, whose ``log_resumed()`` it calls.

    ::

        reading --began--> streaming --broke--> broken --resumed--> streaming
        any of them --ended--> over
    """
    return _machine(generation)
