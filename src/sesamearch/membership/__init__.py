"""Routers among themselves: members, relays, messages, shared writes."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "broadcast_batcher": ["BATCH_INTERVAL_S", "BroadcastBatcher"],
        "claim_relay": ["ClaimRelay", "choose_writer"],
        "fleet": ["FleetLink"],
        "fleet_keys": ["FLEET_KEYS_KEY", "obtain_fleet_keys"],
        "fleet_message": [
            "FLEET_SCHEMA_VERSION",
            "FleetHeartbeat",
            "BroadcastBatch",
            "EndpointRestarted",
            "EndpointsDelta",
            "EndpointsSnapshot",
            "EndpointsRequest",
            "FleetMessage",
            "LoadUpdate",
            "RolloutUpdate",
            "RolloutVerdict",
            "Broadcast",
            "TableResponse",
            "TableRequest",
        ],
        "gossip": ["LoadGossip"],
        "listing": ["EndpointListing"],
        "message": [
            "SCHEMA_VERSION",
            "ClaimsResponse",
            "ClaimsRequest",
            "ConfigurationResponse",
            "ConfigurationRequest",
            "EvidenceReport",
            "Heartbeat",
            "Message",
            "ClaimResult",
            "BadVersionNotice",
            "ClaimRequest",
            "SettlementRequest",
        ],
        "peer": ["PeerLink"],
        "member_list": [
            "RELAYS_PER_DATA_CENTRE",
            "AgedRouterInfo",
            "RouterInfo",
            "MemberList",
        ],
        "sockets": ["PeerSockets"],
    },
)
