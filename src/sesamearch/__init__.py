"""Serving of long generations from engines that fail."""

import lazy_loader

# Loaded on first use: a router must not pay for the client, nor a client for a router.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "base.errors": ["ErrorKind", "Problem"],
        "callers.client": ["Answer", "CompletionClient"],
        "configuration.blackboard": ["Blackboard"],
        "configuration.configuration": ["Configuration", "collect"],
        "configuration.settings": ["RouterSettings", "load_settings"],
    },
)
