"""Calls of plain services: idempotent ones, and operations that run at most once."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "call": ["CallRunner", "CallTools", "RetryBudget", "send_call"],
        "claim": [
            "NO_REPLY",
            "Claim",
            "ClaimOutcome",
            "ClaimState",
            "ClaimWriter",
            "HeldClaim",
            "claim_key",
            "new_claim_id",
        ],
        "http_plain": ["HOP_BY_HOP_HEADERS", "HttpPlainClient"],
        "operation": [
            "OperationRequest",
            "OperationRunner",
            "OperationTools",
            "check_key",
        ],
        "plain": ["CallFailure", "PlainClient", "PlainReply", "PlainRequest"],
    },
)
