"""Adapter to the platform: its key names, formats and calls, without any policy."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "client": ["PlatformEndpointClient"],
        "configuration": ["CONFIGURATION_KEY", "decode_configuration"],
        "endpoints": ["ENDPOINT_PREFIX", "decode_endpoint"],
        "followers": ["OperatorFollower", "OutcomeFollower", "ServerFollower"],
        "headers": [
            "MAX_PAUSE_S",
            "decode_answer",
            "decode_request",
            "encode_request",
            "find_request_id",
            "instance_of",
            "keep_alive_s",
            "request_id_of",
        ],
        "rollout": [
            "ORDER_PREFIX",
            "STATUS_PREFIX",
            "PlatformRolloutRegister",
            "decode_order",
            "decode_outcome",
        ],
        "settings": [
            "SETTINGS_VARIABLE",
            "load_platform_settings",
            "read_platform_settings",
        ],
        "standings": ["STANDING_PREFIX", "read_standings", "write_standings"],
        "store": ["PlatformStore"],
        "store_message": [
            "ExpectedRevision",
            "LeaseRequest",
            "PutItem",
            "StoreEvents",
            "StoreItem",
            "StoreLease",
            "StoreRange",
            "Transaction",
            "TransactionConflict",
            "TransactionReply",
            "decode_body",
            "decode_events",
            "decode_items",
        ],
        "watch": ["PlatformWatch"],
    },
)
