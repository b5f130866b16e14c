"""Counters, gauges and histograms of one process."""

import threading

from foxtailshunt.telemetry._cells import Distribution

#: Upper bounds of latency buckets, in seconds.
LATENCY_BUCKETS_S = (0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1, 2, 5)

Labels = dict[str, str]

_CellKey = tuple[str, tuple[tuple[str, str], ...]]


class Metrics:
    """The metrics of one process; safe to use from any thread.

    Names follow the Prometheus conventions: ``foxtailshunt_`` first, the unit last, ``_total`` on
    counters. A metric is created at its first use. Label values must come from small fixed sets.
    Values are kept in plain cells and handed to aioprometheus only when they are rendered.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._docs: dict[str, str] = {}
        self._counters: dict[_CellKey, float] = {}
        self._gauges: dict[_CellKey, float] = {}
        self._distributions: dict[_CellKey, Distribution] = {}

    def count(self, name: str, doc: str, labels: Labels | None = None, amount: float = 1) -> None:
        """Add to a counter.

        :param name: the metric's name, ending in ``_total``.
        :param doc: what is counted.
        :param labels: label values.
        :param amount: what to add; never negative.
        """
        if amount < 0:
            raise ValueError(f"{name} cannot decrease")
        key = _cell_key(name, labels)
        with self._lock:
            value = self._counters.get(key)
            if value is None:
                value = 0
                self._docs[name] = doc
            self._counters[key] = value + amount

    def set_gauge(self, name: str, doc: str, value: float, labels: Labels | None = None) -> None:
        """Set a gauge.

        :param name: the metric's name, ending in its unit.
        :param doc: what is measured.
        :param value: the value now.
        :param labels: label values.
        """
        with self._lock:
            self._docs[name] = doc
            self._gauges[_cell_key(name, labels)] = value

    def observe(self, name: str, doc: str, value_s: float, labels: Labels | None = None) -> None:
        """Add a duration to a histogram.

        :param name: the metric's name, ending in ``_seconds``.
        :param doc: what is measured.
        :param value_s: the duration in seconds.
        :param labels: label values.
        """
        key = _cell_key(name, labels)
        with self._lock:
            distribution = self._distributions.get(key)
            if distribution is None:
                distribution = self._distributions[key] = Distribution(LATENCY_BUCKETS_S)
                self._docs[name] = doc
            distribution.add(value_s)

    def counter_value(self, name: str, labels: Labels | None = None) -> float:
        """Return a counter's value, 0 if it was never added to.

        :param name: the metric's name.
        :param labels: label values.
        """
        with self._lock:
            return float(self._counters.get(_cell_key(name, labels), 0))

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the text exposition and its HTTP headers."""
        # aioprometheus brings asyncio, 4 MB that a process saves until it is asked.
        from foxtailshunt.telemetry._exposition import Exposition

        exposition = Exposition()
        with self._lock:
            for (name, labels), counted in self._counters.items():
                exposition.add_counter(name, self._docs[name], labels, counted)
            for (name, labels), value in self._gauges.items():
                exposition.add_gauge(name, self._docs[name], labels, value)
            for (name, labels), distribution in self._distributions.items():
                exposition.add_histogram(name, self._docs[name], labels, distribution)
        return exposition.render()


def _cell_key(name: str, labels: Labels | None) -> _CellKey:
    return (name, tuple(sorted(labels.items())) if labels else ())
