"""Utilities for all other packages: errors, logging, schemas, HTTP and TCP."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "address": ["is_address"],
        "decode": ["decode_foreign"],
        "early": ["listen_early"],
        "errors": ["Answer", "ErrorKind", "Problem", "Ran", "answer_for"],
        "guard": ["Guard"],
        "http": ["FrameReceiver", "TurnEndCallbacks", "make_http_client"],
        "listener": ["listen_tcp"],
        "log": [
            "LineQueue",
            "RecordHandler",
            "logger",
            "set_up_logging",
            "set_up_records",
        ],
        "reactor": ["install_steady_reactor"],
        "record": [
            "RECORDS",
            "ConfigurationInForce",
            "Dependency",
            "EndpointChanged",
            "EndpointNameIgnored",
            "EndpointReturned",
            "EndpointSuspected",
            "GenerationResumed",
            "Lifecycle",
            "MemberChanged",
            "Record",
            "RequestEnded",
            "RequestRefused",
            "RequestUnread",
            "RequestUnreadable",
            "RolloutChanged",
            "TryLost",
            "TrySent",
            "VersionStandingChanged",
        ],
        "schema": ["Fault", "check", "load_yaml"],
    },
)
