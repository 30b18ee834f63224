"""Settings, published configurations and the state that a router's parts share."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "blackboard": [
            "Blackboard",
            "Counters",
            "DrainPhase",
            "Endpoint",
            "Incarnation",
            "Member",
            "ObservableValue",
        ],
        "configuration": [
            "Call",
            "Configuration",
            "EngineService",
            "Organisation",
            "PlainService",
            "ResumePolicy",
            "Retry",
            "VersionShare",
            "collect",
            "decode_configuration",
            "hash_api_key",
        ],
        "directory": ["ServiceDirectory"],
        "follower": [
            "CONFIGURATION_KEY",
            "VM_PREFIX",
            "ConfigurationFollower",
            "EndpointFollower",
            "Follower",
            "VmEntry",
        ],
        "platform_settings": ["PlatformBounds", "PlatformRouterSettings"],
        "keys": [
            "PeerKeys",
            "decode_peer_keys",
            "load_peer_keys",
            "new_api_key",
            "new_cursor_key",
            "new_peer_keys",
        ],
        "publisher": [
            "PublishedEntry",
            "diff_configurations",
            "publish",
            "read_configuration",
            "read_history",
        ],
        "settings": [
            "DrainSettings",
            "LimitSettings",
            "PeerSettings",
            "RouterSettings",
            "StoreSettings",
            "TlsSettings",
            "load_settings",
        ],
    },
)
