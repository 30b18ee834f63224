"""Long generations: attempts, cursors and resuming on another engine."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "attempt": ["AnswerSink", "Attempt", "GenerationRequest", "GenerationTools"],
        "completion": [
            "CompletionBody",
            "EventStreamSink",
            "BufferedSink",
            "parse_body",
            "send_problem",
        ],
        "cursor": ["Cursor", "CursorSigner", "Position", "checksum"],
        "engine": [
            "EngineClient",
            "EngineStream",
            "EngineRequest",
            "StreamEnd",
            "StreamEvent",
            "StreamReceiver",
        ],
        "generation": ["Generation", "AttemptFailure"],
        "http_engine": ["HttpEngineClient"],
    },
)
