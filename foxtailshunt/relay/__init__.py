"""Forwarding of requests to upstreams: queueing, admission, retries and connections."""

from foxtailshunt.relay._forwarder import Forwarder
from foxtailshunt.relay._latency_estimator import LatencyEstimator
from foxtailshunt.relay._messages import to_call, to_relay_reply
from foxtailshunt.relay._outcome import Call, Outcome
from foxtailshunt.relay._queue_entry import QueueEntry, QueueEntryState, Refusal
from foxtailshunt.relay._retry_budget import RetryBudget
from foxtailshunt.relay._retry_policy import AttemptHistory, RetryDecision, decide_retry
from foxtailshunt.relay._sender import Sender
from foxtailshunt.relay._slot_pool import SlotPool

__all__ = [
    "AttemptHistory",
    "Call",
    "Forwarder",
    "RetryDecision",
    "Outcome",
    "LatencyEstimator",
    "Refusal",
    "RetryBudget",
    "Sender",
    "SlotPool",
    "QueueEntry",
    "QueueEntryState",
    "decide_retry",
    "to_call",
    "to_relay_reply",
]
