"""Export of the blackboard's counters and gauges through OpenTelemetry."""

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider

from sesamearch.configuration.blackboard import Counters

__all__ = ["MetricsExport"]

_PREFIX = "sesamearch_"


class MetricsExport:
    """Exports the counters and gauges of a router.

    Parameters
    ----------
    board : Blackboard
        Read at each export.
    exporter : str
        ``prometheus``, ``none``, or an OTLP/HTTP address.
    """

    __slots__ = ("_board", "_provider", "_render")

    def __init__(self, board, exporter):
        self._board = board
        self._render = None
        readers = [] if exporter == "none" else [self._make_reader(exporter)]
        self._provider = MeterProvider(metric_readers=readers)
        self._register(self._provider.get_meter("sesamearch"))

    def _make_reader(self, exporter):
        # Each exporter takes several MB of memory, so only the configured one is
        # imported.
        if exporter == "prometheus":
            from opentelemetry.exporter.prometheus import PrometheusMetricReader
            from prometheus_client import generate_latest

            self._render = generate_latest
            return PrometheusMetricReader(True, scope_info_enabled=False)
        from opentelemetry.exporter.otlp.proto.http import metric_exporter
        from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader

        return PeriodicExportingMetricReader(
            metric_exporter.OTLPMetricExporter(endpoint=exporter)
        )

    def _register(self, meter):
        for name in Counters.__slots__:
            meter.create_observable_counter(_PREFIX + name, [self._counter(name)])
        meter.create_observable_gauge(
            _PREFIX + "configuration_revision", [self._revision]
        )
        meter.create_observable_gauge(_PREFIX + "endpoints", [self._endpoints])

    def _counter(self, name):
        def observe(options: CallbackOptions):
            yield Observation(getattr(self._board.counters, name))

        return observe

    def _revision(self, options):
        yield Observation(self._board.configuration.value.revision)

    def _endpoints(self, options):
        endpoints = self._board.endpoints.value.values()
        leaving = sum(endpoint.leaving for endpoint in endpoints)
        yield Observation(len(endpoints) - leaving, {"state": "live"})
        yield Observation(leaving, {"state": "leaving"})

    def render(self):
        """Return the Prometheus text as bytes, empty for other exporters."""
        return self._render() if self._render else b""

    def stop(self):
        """Export once more and stop the exporter."""
        self._provider.shutdown()
