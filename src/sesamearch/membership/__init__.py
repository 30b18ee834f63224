"""Routers among themselves: members, messages and shared writes."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "claim_relay": ["ClaimRelay", "choose_writer"],
        "message": [
            "SCHEMA_VERSION",
            "ClaimsTaken",
            "ClaimsWanted",
            "ConfigurationNews",
            "ConfigurationWanted",
            "EvidenceReport",
            "Heartbeat",
            "Message",
            "TakenClaim",
            "Veto",
            "WantedClaim",
            "WantedSettlement",
        ],
        "peer": ["PeerLink"],
    },
)
