"""Routers among themselves: members, relays, messages, shared writes."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "bundle": ["BUNDLE_INTERVAL_S", "NewsBundle"],
        "claim_relay": ["ClaimRelay", "choose_writer"],
        "fleet": ["FleetLink"],
        "fleet_keys": ["FLEET_KEYS_KEY", "obtain_fleet_keys"],
        "fleet_message": [
            "FLEET_SCHEMA_VERSION",
            "Beat",
            "Bundle",
            "EndpointBack",
            "EndpointsChanges",
            "EndpointsNews",
            "EndpointsWanted",
            "FleetMessage",
            "LoadNews",
            "RolloutNews",
            "RolloutVerdict",
            "Spread",
            "TableNews",
            "TableWanted",
        ],
        "gossip": ["LoadGossip"],
        "listing": ["EndpointListing"],
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
        "roster": ["RELAYS", "AgedHint", "Hint", "Roster"],
        "sockets": ["PeerSockets"],
    },
)
