"""Counters, gauges and histograms of one process."""

import threading

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

#: Upper bounds of latency buckets, in seconds.
LATENCY_BUCKETS_S = [0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1, 2, 5]

Labels = dict[str, str]


class Metrics:
    """The metrics of one process; safe to use from any thread.

    Names follow the Prometheus conventions: ``foxtailshunt_`` first, the unit last, ``_total`` on
    counters. A metric is created at its first use.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._registry = Registry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str, doc: str, labels: Labels | None = None, amount: float = 1) -> None:
        """Add to a counter.

        :param name: the metric's name, ending in ``_total``.
        :param doc: what is counted.
        :param labels: label values.
        :param amount: what to add.
        """
        with self._lock:
            counter = self._counters.get(name)
            if counter is None:
                counter = Counter(name, doc, registry=self._registry)
                self._counters[name] = counter
            counter.add(labels or {}, amount)

    def set_gauge(self, name: str, doc: str, value: float, labels: Labels | None = None) -> None:
        """Set a gauge.

        :param name: the metric's name, ending in its unit.
        :param doc: what is measured.
        :param value: the value now.
        :param labels: label values.
        """
        with self._lock:
            gauge = self._gauges.get(name)
            if gauge is None:
                gauge = Gauge(name, doc, registry=self._registry)
                self._gauges[name] = gauge
            gauge.set(labels or {}, value)

    def observe(self, name: str, doc: str, value_s: float, labels: Labels | None = None) -> None:
        """Add a duration to a histogram.

        :param name: the metric's name, ending in ``_seconds``.
        :param doc: what is measured.
        :param value_s: the duration in seconds.
        :param labels: label values.
        """
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = Histogram(name, doc, registry=self._registry, buckets=LATENCY_BUCKETS_S)
                self._histograms[name] = histogram
            histogram.add(labels or {}, value_s)

    def counter_value(self, name: str, labels: Labels | None = None) -> float:
        """Return a counter's value, 0 if it was never added to.

        :param name: the metric's name.
        :param labels: label values.
        """
        with self._lock:
            counter = self._counters.get(name)
            if counter is None:
                return 0.0
            try:
                return float(counter.get(labels or {}))
            except KeyError:
                return 0.0

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the text exposition and its HTTP headers."""
        with self._lock:
            return render(self._registry, ["text/plain"])
