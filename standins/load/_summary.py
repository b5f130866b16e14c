"""Result counts and latencies of one stream, which can be merged across processes."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


@dataclass
class StreamSummary:
    """Results of one stream's measured requests."""

    #: Requests sent.
    sent: int = 0
    #: Requests that ran and whose complete, matching response arrived within the deadline.
    good: int = 0
    #: Responses that are truncated or belong to another request.
    wrong: int = 0
    #: Number of requests by name of the result code.
    codes: dict[str, int] = field(default_factory=dict)
    #: Latencies of the good requests, in microseconds.
    histogram: HdrHistogram = field(default_factory=_new_histogram)
    #: Measured time, in seconds.
    duration_s: float = 0.0

    def add(self, code_name: str, elapsed_s: float, good: bool, wrong: bool) -> None:
        """Add one request.

        :param code_name: name of its result code.
        :param elapsed_s: time from its due time to the complete response, in seconds.
        :param good: whether it is included in :attr:`good`.
        :param wrong: whether it is included in :attr:`wrong`.
        """
        self.sent += 1
        self.good += good
        self.wrong += wrong
        self.codes[code_name] = self.codes.get(code_name, 0) + 1
        if good:
            self.histogram.record_value(max(_MIN_LATENCY_US, int(elapsed_s * _US_PER_S)))

    def merge(self, other: "StreamSummary") -> None:
        """Add another process's summary of the same stream and time span.

        :param other: the other summary.
        """
        self.sent += other.sent
        self.good += other.good
        self.wrong += other.wrong
        for name, count in other.codes.items():
            self.codes[name] = self.codes.get(name, 0) + count
        self.histogram.add(other.histogram)
        self.duration_s = max(self.duration_s, other.duration_s)

    @property
    def goodput_per_s(self) -> float:
        """Return the number of good requests a second."""
        return self.good / self.duration_s if self.duration_s else 0.0

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile of the good requests in milliseconds.

        :param percentile: from 0 to 100.
        """
        if not self.good:
            return 0.0
        return self.histogram.get_value_at_percentile(percentile) / _US_PER_MS

    def to_dict(self) -> dict:
        """Return the summary as a dictionary for JSON."""
        return {
            "sent": self.sent,
            "good": self.good,
            "wrong": self.wrong,
            "codes": self.codes,
            "histogram": self.histogram.encode().decode("ascii"),
            "duration_s": self.duration_s,
        }

    @staticmethod
    def from_dict(value: dict) -> "StreamSummary":
        """Read a summary from a dictionary.

        :param value: dictionary as returned by :meth:`to_dict`.
        """
        histogram = HdrHistogram.decode(value["histogram"])
        return StreamSummary(
            sent=value["sent"],
            good=value["good"],
            wrong=value["wrong"],
            codes=value["codes"],
            histogram=histogram,
            duration_s=value["duration_s"],
        )
