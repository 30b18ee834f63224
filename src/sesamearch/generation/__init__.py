"""Long generations: attempts, cursors and resumption on another engine."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "attempt": ["AnswerSink", "Attempt", "GenerationRequest", "GenerationTools"],
        "completion": [
            "CompletionBody",
            "EventSink",
            "WholeSink",
            "parse_body",
            "send_problem",
        ],
        "cursor": ["Cursor", "CursorSigner", "Position", "checksum"],
        "engine": [
            "EngineClient",
            "EngineStream",
            "GenerationOrder",
            "StreamEnd",
            "StreamEvent",
            "StreamReceiver",
        ],
        "generation": ["Generation", "Loss"],
        "http_engine": ["HttpEngineClient"],
    },
)
