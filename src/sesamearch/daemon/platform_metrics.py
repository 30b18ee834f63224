"""Metrics of a router on the platform: counters and latency histograms."""

import importlib
from collections import deque

from sesamearch.base.log import logger
from sesamearch.forwarding.meter import Meter

__all__ = ["PlatformMetrics"]

_PREFIX = "sesamearch_"
MAX_BUFFERED_SAMPLES = 5000
# Modules of the exporter, in the order in which they are imported one at a time. Each
# takes a part of the time of the whole, in which the reactor stands still.
_EXPORTER_MODULES = (
    "http.server",
    "prometheus_client",
    "opentelemetry.trace",
    "opentelemetry.metrics",
    "opentelemetry.sdk.resources",
    "opentelemetry.sdk.metrics",
    "opentelemetry.exporter.prometheus",
)
LATENCY_BUCKETS_S = (
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.5, 4.5, 10.0, 25.0
)  # fmt: skip


class PlatformMetrics(Meter):
    """Records request metrics and exports them as Prometheus text.

    The exporter is loaded only when the router already serves callers; until then,
    up to ``MAX_BUFFERED_SAMPLES`` samples are buffered.

    Parameters
    ----------
    counters : ForwardCounters
    gauges : dict from str to callable
        Gauges by name; the callable returns the current value.
    """

    def __init__(self, counters, gauges):
        self._counters = counters
        self._gauges = gauges
        self._buffered = deque(maxlen=MAX_BUFFERED_SAMPLES)
        self._instruments = None
        self._render = None
        self._modules = list(_EXPORTER_MODULES)

    def load_step(self):
        """Load a part of the exporter.

        Returns
        -------
        bool
            Whether all of it is loaded, and the buffered samples are recorded.
        """
        if self._modules:
            importlib.import_module(self._modules.pop(0))
            return False
        self._load()
        return True

    def _load(self):
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from opentelemetry.metrics import Observation
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.metrics.view import (
            ExplicitBucketHistogramAggregation,
            View,
        )
        from prometheus_client import generate_latest

        reader = PrometheusMetricReader(True, scope_info_enabled=False)
        buckets = ExplicitBucketHistogramAggregation(LATENCY_BUCKETS_S)
        view = View(instrument_name="*_seconds", aggregation=buckets)
        provider = MeterProvider(metric_readers=[reader], views=[view])
        meter = provider.get_meter("sesamearch")
        self._register_observed(meter, Observation)
        self._instruments = {
            "requests": meter.create_counter(_PREFIX + "requests_by_outcome"),
            "tries": meter.create_counter(_PREFIX + "tries_by_outcome"),
            "took": meter.create_histogram(_PREFIX + "request_seconds"),
            "first": meter.create_histogram(_PREFIX + "first_event_seconds"),
            "pause": meter.create_histogram(_PREFIX + "resume_pause_seconds"),
        }
        self._render = generate_latest
        buffered, self._buffered = self._buffered, None
        for sample in buffered:
            self._record(*sample)
        logger.info("metrics exporter loaded buffered_samples={}", len(buffered))

    def _register_observed(self, meter, observation):
        def observe(read):
            return lambda options: [observation(read())]

        for name in self._counters.__slots__:
            read = self._reader(name)
            meter.create_observable_counter(_PREFIX + name, [observe(read)])
        for name, read in self._gauges.items():
            meter.create_observable_gauge(_PREFIX + name, [observe(read)])

    def _reader(self, name):
        return lambda: getattr(self._counters, name)

    def _add_sample(self, kind, value, **labels):
        if self._instruments is None:
            self._buffered.append((kind, value, labels))
        else:
            self._record(kind, value, labels)

    def _record(self, kind, value, labels):
        instrument = self._instruments[kind]
        if hasattr(instrument, "add"):
            instrument.add(value, labels)
        else:
            instrument.record(value, labels)

    def request_ended(self, route, outcome, took_s):
        """Count a request and record its duration."""
        self._add_sample("requests", 1, route=route, outcome=outcome)
        self._add_sample("took", took_s, route=route, outcome=outcome)

    def try_ended(self, service, outcome):
        """Count a try."""
        self._add_sample("tries", 1, service=service, outcome=outcome)

    def first_event(self, route, took_s):
        """Record the time to the first event of a generation."""
        self._add_sample("first", took_s, route=route)

    def resumed(self, route, pause_s):
        """Record the pause in a generation caused by a resume."""
        self._add_sample("pause", pause_s, route=route)

    def render(self):
        """Return the Prometheus text as bytes, empty until the exporter is loaded."""
        return self._render() if self._render else b""
