"""Forwarding of requests to upstreams: queueing, admission, retries and connections."""

from foxtailshunt.relay._forwarder import Forwarder
from foxtailshunt.relay._group_selector import GroupSelector
from foxtailshunt.relay._latency_estimator import LatencyEstimator
from foxtailshunt.relay._leaving_upstreams import LeavingUpstreams
from foxtailshunt.relay._messages import to_call, to_relay_reply
from foxtailshunt.relay._origin_exits import OriginExits
from foxtailshunt.relay._outcome import Call, Outcome
from foxtailshunt.relay._queue_entry import QueueEntry, QueueEntryState, Refusal
from foxtailshunt.relay._retry_budget import RetryBudget
from foxtailshunt.relay._retry_policy import AttemptHistory, RetryDecision, decide_retry
from foxtailshunt.relay._sender import Sender
from foxtailshunt.relay._slot_pool import SlotPool
from foxtailshunt.relay._stop_schedule import STOPPING_RETRY_AFTER_S, StopSchedule
from foxtailshunt.relay._upstream_groups import UpstreamGroup, UpstreamGroups, form_groups
from foxtailshunt.relay._upstream_pauses import UpstreamPauses

__all__ = [
    "STOPPING_RETRY_AFTER_S",
    "AttemptHistory",
    "Call",
    "Forwarder",
    "GroupSelector",
    "RetryDecision",
    "OriginExits",
    "Outcome",
    "LatencyEstimator",
    "LeavingUpstreams",
    "Refusal",
    "RetryBudget",
    "Sender",
    "SlotPool",
    "StopSchedule",
    "QueueEntry",
    "QueueEntryState",
    "UpstreamGroup",
    "UpstreamGroups",
    "UpstreamPauses",
    "decide_retry",
    "form_groups",
    "to_call",
    "to_relay_reply",
]
