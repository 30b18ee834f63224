"""Router for long-running LLM generations that survive engine failures."""

import lazy_loader

# Submodules load on first use, so that a router does not import the client and a client
# does not import the router.
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
