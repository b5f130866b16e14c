"""Sending requests to upstreams: slots, order, refusals, retries and connections."""

from foxtailshunt.relay._forwarder import Forwarder
from foxtailshunt.relay._messages import to_call, to_relay_reply
from foxtailshunt.relay._outcome import Call, Outcome
from foxtailshunt.relay._pace import PaceBook
from foxtailshunt.relay._retry_budget import RetryBudget
from foxtailshunt.relay._retry_policy import Attempts, NextStep, next_step
from foxtailshunt.relay._sender import Sender
from foxtailshunt.relay._slot_pool import SlotPool
from foxtailshunt.relay._ticket import Refusal, Ticket, TicketState

__all__ = [
    "Attempts",
    "Call",
    "Forwarder",
    "NextStep",
    "Outcome",
    "PaceBook",
    "Refusal",
    "RetryBudget",
    "Sender",
    "SlotPool",
    "Ticket",
    "TicketState",
    "next_step",
    "to_call",
    "to_relay_reply",
]
