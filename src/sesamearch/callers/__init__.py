"""The HTTP interface for callers, and a client for it."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "client": ["Answer", "CompletionClient"],
        "gateway": ["Gateway"],
        "site": ["ResourceFactory"],
    },
)
