"""Communication among routers: membership, relays, messages and batched claims."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "broadcast_batcher": ["BATCH_INTERVAL_S", "BroadcastBatcher"],
        "broadcasts": ["Broadcasts"],
        "claim_relay": ["ClaimRelay", "choose_writer"],
        "fleet": ["FleetLink"],
        "fleet_keys": ["FLEET_KEYS_KEY", "obtain_fleet_keys"],
        "fleet_message": [
            "FLEET_SCHEMA_VERSION",
            "Broadcast",
            "BroadcastBatch",
            "EndpointRestarted",
            "EndpointsDelta",
            "EndpointsRequest",
            "EndpointsSnapshot",
            "FleetHeartbeat",
            "FleetMessage",
            "LoadUpdate",
            "RolloutUpdate",
            "RolloutVerdict",
            "TableRequest",
            "TableResponse",
        ],
        "gossip": ["LoadGossip"],
        "listing": ["EndpointListing"],
        "message": [
            "SCHEMA_VERSION",
            "BadVersionNotice",
            "ClaimRequest",
            "ClaimResult",
            "ClaimsRequest",
            "ClaimsResponse",
            "ConfigurationRequest",
            "ConfigurationResponse",
            "EvidenceReport",
            "Heartbeat",
            "Message",
            "SettlementRequest",
        ],
        "peer": ["PeerLink"],
        "member_list": [
            "RELAYS_PER_DATA_CENTRE",
            "AgedRouterInfo",
            "MemberList",
            "RouterInfo",
        ],
        "sockets": ["PeerSockets"],
    },
)
