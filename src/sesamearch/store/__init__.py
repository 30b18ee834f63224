"""The platform's key-value service: the interface and its etcd client."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "etcd": ["EtcdStore", "prefix_end"],
        "store": [
            "Comparison",
            "KeyValue",
            "MemoryStore",
            "Put",
            "RangeReply",
            "Store",
            "StoreCopy",
            "StoreRevision",
            "StoredValue",
            "TxnReply",
            "Watch",
            "WatchReceiver",
        ],
    },
)
