"""HTTP/1.1 connections to callers and endpoints, built on h11."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "account": ["CallerAccount", "CallerBounds", "CallerHolding", "ShedReason"],
        "ahead": ["BytesAhead"],
        "body": ["BodyBuffer"],
        "caller": ["CallerConnection", "CallerFactory"],
        "caller_limits": ["CallerLimits"],
        "endpoint": [
            "ResponseReceiver",
            "Loss",
            "OutgoingRequest",
            "PendingRequest",
            "EndpointConnection",
            "enable_keepalive",
        ],
        "events": ["EventError", "EventSplitter", "StreamEvent"],
        "framing": ["check_framing", "content_length", "has_chunks"],
        "head": [
            "HOP_BY_HOP",
            "ResponseHead",
            "HeadError",
            "HeadReader",
            "RequestHead",
            "first_value",
            "is_status",
            "strip_hop_by_hop",
        ],
        "outlet": ["Outlet", "OutletListener"],
        "pool": ["ConnectionPool"],
        "read_budget": ["BudgetedReader", "ReadBudget", "ReadShare"],
        "reply": ["Reply", "ReplyListener"],
        "timer": ["MovableTimer"],
        "upload": ["UPLOAD_PIECE_BYTES", "Upload"],
    },
)
