"""Renders metrics in the Prometheus text format with aioprometheus."""

from itertools import accumulate

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.collectors import Collector
from aioprometheus.histogram import Histogram as HistogramValue
from aioprometheus.renderer import render

from foxtailshunt.telemetry._distribution import Distribution
from foxtailshunt.telemetry._process_usage import read_process_usage

LabelPairs = tuple[tuple[str, str], ...]


class Exposition:
    """A snapshot of all metrics, with the resource usage of the process."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._collectors: dict[str, Collector] = {}

    def add_counter(self, name: str, doc: str, labels: LabelPairs, value: float) -> None:
        """Add the value of a counter.

        :param name: name of the metric.
        :param doc: help text of the metric.
        :param labels: label names and values.
        :param value: value of the counter.
        """
        self._collector(Counter, name, doc).set_value(dict(labels), value)

    def add_gauge(self, name: str, doc: str, labels: LabelPairs, value: float) -> None:
        """Add the value of a gauge.

        :param name: name of the metric.
        :param doc: help text of the metric.
        :param labels: label names and values.
        :param value: value of the gauge.
        """
        self._collector(Gauge, name, doc).set_value(dict(labels), value)

    def add_histogram(
        self, name: str, doc: str, labels: LabelPairs, distribution: Distribution
    ) -> None:
        """Add the buckets of a histogram.

        :param name: name of the metric.
        :param doc: help text of the metric.
        :param labels: label names and values.
        :param distribution: recorded durations.
        """
        self._collector(Histogram, name, doc).set_value(
            dict(labels), _histogram_value(distribution)
        )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the Prometheus text format and its HTTP headers."""
        usage = read_process_usage()
        self.add_counter("process_cpu_seconds_total", "CPU time used.", (), usage.cpu_s)
        self.add_gauge(
            "process_resident_memory_bytes", "Resident memory.", (), usage.resident_bytes
        )
        self.add_gauge("process_threads", "Threads running.", (), usage.threads)
        return render(self._registry, ["text/plain"])

    def _collector(self, kind: type[Collector], name: str, doc: str) -> Collector:
        collector = self._collectors.get(name)
        if collector is None:
            collector = self._collectors[name] = kind(name, doc, registry=self._registry)
        return collector


def _histogram_value(distribution: Distribution) -> HistogramValue:
    """Convert a distribution to the histogram value that aioprometheus renders."""
    value = HistogramValue(*distribution.bounds_s)
    cumulative = accumulate(distribution.counts)
    value.buckets = dict(zip(value.buckets, cumulative, strict=True))
    value.observations = sum(distribution.counts)
    value.sum = distribution.sum_s
    return value
