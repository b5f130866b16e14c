"""Forwarding of requests to upstreams: queueing, admission, retries and connections."""

from foxtailshunt.relay._cold_upstreams import ColdUpstreams
from foxtailshunt.relay._forwarder import Forwarder
from foxtailshunt.relay._group_selector import GroupSelector
from foxtailshunt.relay._group_shortage import GroupShortage
from foxtailshunt.relay._load_reports import LoadReports
from foxtailshunt.relay._messages import to_call, to_relay_reply
from foxtailshunt.relay._origin_exits import OriginExits
from foxtailshunt.relay._outcome import Outcome
from foxtailshunt.relay._result_recorder import rate_outcome
from foxtailshunt.relay._retry_policy import AttemptHistory, RetryDecision, decide_retry
from foxtailshunt.relay._sender import Sender
from foxtailshunt.relay._stop_schedule import STOPPING_RETRY_AFTER_S, StopSchedule
from foxtailshunt.relay._upstream_groups import (
    UpstreamGroup,
    UpstreamGroups,
    form_groups,
    sender_candidates,
)
from foxtailshunt.relay._upstream_senders import UpstreamSenders

__all__ = [
    "STOPPING_RETRY_AFTER_S",
    "AttemptHistory",
    "ColdUpstreams",
    "Forwarder",
    "GroupSelector",
    "LoadReports",
    "GroupShortage",
    "RetryDecision",
    "OriginExits",
    "Outcome",
    "Sender",
    "StopSchedule",
    "UpstreamGroup",
    "UpstreamGroups",
    "UpstreamSenders",
    "decide_retry",
    "form_groups",
    "rate_outcome",
    "sender_candidates",
    "to_call",
    "to_relay_reply",
]
