"""Decides which requests wait for the slots of upstreams, in which order, and which are refused."""

from foxtailshunt.admission._call import Call
from foxtailshunt.admission._overload_policy import Decision, OverloadPolicy
from foxtailshunt.admission._queue_entry import QueueEntry, QueueEntryState, Refusal
from foxtailshunt.admission._retry_budget import RetryBudget
from foxtailshunt.admission._slot_pool import SlotPool
from foxtailshunt.admission._slot_pools import LockedPool, SlotPools

__all__ = [
    "Call",
    "Decision",
    "LockedPool",
    "OverloadPolicy",
    "QueueEntry",
    "QueueEntryState",
    "Refusal",
    "RetryBudget",
    "SlotPool",
    "SlotPools",
]
