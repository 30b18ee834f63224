"""Routers among themselves: members, messages and shared writes."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "claim_relay": ["ClaimRelay", "choose_writer"],
        "fleet_keys": ["FLEET_KEYS_KEY", "obtain_fleet_keys"],
        "gossip": ["LoadGossip"],
        "listing": ["EndpointListing"],
        "message": [
            "SCHEMA_VERSION",
            "ClaimsTaken",
            "ClaimsWanted",
            "ConfigurationNews",
            "ConfigurationWanted",
            "EndpointsNews",
            "EndpointsState",
            "EndpointsWanted",
            "EvidenceReport",
            "Heartbeat",
            "LoadNews",
            "Message",
            "RolloutNews",
            "RolloutVerdict",
            "TakenClaim",
            "Veto",
            "WantedClaim",
            "WantedSettlement",
        ],
        "peer": ["PeerLink"],
    },
)
