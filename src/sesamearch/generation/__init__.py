"""Long generations: attempts, cursors and resuming on another engine."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "attempt": ["AnswerSink", "Attempt", "GenerationRequest", "GenerationTools"],
        "completion": [
            "BufferedSink",
            "CompletionBody",
            "EventStreamSink",
            "parse_body",
            "send_problem",
        ],
        "cursor": ["Cursor", "CursorSigner", "Position", "checksum"],
        "engine": [
            "EngineClient",
            "EngineRequest",
            "EngineStream",
            "StreamEnd",
            "StreamEvent",
            "StreamReceiver",
        ],
        "generation": ["AttemptFailure", "Generation"],
        "http_engine": ["HttpEngineClient"],
    },
)
