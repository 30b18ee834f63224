"""Requests served by way of another router, where this one reaches no endpoint."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "admission": ["ProxyAdmission"],
        "envelope": ["EnvelopeSealer", "ProxyEnvelope", "digest_of"],
        "path_gossip": ["PathGossip"],
        "peers": ["PeerChooser"],
        "reply": ["ProxyReply"],
    },
)
