"""Clocks and the timer service."""

from foxtailshunt.timing._clock import Clock, MonotonicClock
from foxtailshunt.timing._timer_service import Subscription, TimerService

__all__ = ["Clock", "MonotonicClock", "Subscription", "TimerService"]
