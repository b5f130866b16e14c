"""Counters, gauges and histograms of a process."""

import threading

from foxtailshunt.telemetry._distribution import Distribution

#: Upper bounds of latency buckets, in seconds.
LATENCY_BUCKETS_S = (0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1, 2, 5)

Labels = dict[str, str]

#: Name and sorted labels of a time series.
_SeriesKey = tuple[str, tuple[tuple[str, str], ...]]


class Metrics:
    """The metrics of a process; thread-safe.

    Names follow the Prometheus conventions: the prefix ``foxtailshunt_``, the unit as suffix, and
    ``_total`` for counters. A metric is created at its first use. Label values must come from small
    fixed sets. Values are stored as plain numbers and converted for aioprometheus only when they
    are rendered.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._docs: dict[str, str] = {}
        self._counters: dict[_SeriesKey, float] = {}
        self._gauges: dict[_SeriesKey, float] = {}
        self._distributions: dict[_SeriesKey, Distribution] = {}

    def count(self, name: str, doc: str, labels: Labels | None = None, amount: float = 1) -> None:
        """Increment a counter.

        :param name: name of the metric, ending in ``_total``.
        :param doc: help text of the metric.
        :param labels: label names and values.
        :param amount: increment; must not be negative.
        :raises ValueError: the amount is negative.
        """
        if amount < 0:
            raise ValueError(f"counter {name} cannot decrease")
        key = _series_key(name, labels)
        with self._lock:
            value = self._counters.get(key)
            if value is None:
                value = 0
                self._docs[name] = doc
            self._counters[key] = value + amount

    def set_gauge(self, name: str, doc: str, value: float, labels: Labels | None = None) -> None:
        """Set the value of a gauge.

        :param name: name of the metric, ending in its unit.
        :param doc: help text of the metric.
        :param value: current value.
        :param labels: label names and values.
        """
        with self._lock:
            self._docs[name] = doc
            self._gauges[_series_key(name, labels)] = value

    def observe(self, name: str, doc: str, value_s: float, labels: Labels | None = None) -> None:
        """Record a duration in a histogram.

        :param name: name of the metric, ending in ``_seconds``.
        :param doc: help text of the metric.
        :param value_s: duration in seconds.
        :param labels: label names and values.
        """
        key = _series_key(name, labels)
        with self._lock:
            distribution = self._distributions.get(key)
            if distribution is None:
                distribution = self._distributions[key] = Distribution(LATENCY_BUCKETS_S)
                self._docs[name] = doc
            distribution.add(value_s)

    def counter_value(self, name: str, labels: Labels | None = None) -> float:
        """Return the value of a counter; 0 if it was never incremented.

        :param name: name of the metric.
        :param labels: label names and values.
        """
        with self._lock:
            return float(self._counters.get(_series_key(name, labels), 0))

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the Prometheus text format and its HTTP headers."""
        # Imported on first use, since aioprometheus imports asyncio, which takes 4 MB of memory.
        from foxtailshunt.telemetry._exposition import Exposition

        exposition = Exposition()
        with self._lock:
            for (name, labels), total in self._counters.items():
                exposition.add_counter(name, self._docs[name], labels, total)
            for (name, labels), value in self._gauges.items():
                exposition.add_gauge(name, self._docs[name], labels, value)
            for (name, labels), distribution in self._distributions.items():
                exposition.add_histogram(name, self._docs[name], labels, distribution)
        return exposition.render()


def _series_key(name: str, labels: Labels | None) -> _SeriesKey:
    return (name, tuple(sorted(labels.items())) if labels else ())
