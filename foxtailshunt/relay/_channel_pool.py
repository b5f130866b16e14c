"""Idle connections to upstreams."""

import threading

from foxtailshunt.fleet import Upstream
from foxtailshunt.network import Address
from foxtailshunt.relay._channel import UpstreamChannel

#: Idle connections kept to one upstream.
MAX_IDLE_CHANNELS = 3


class ChannelPool:
    """Keeps connections between requests; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, Address], list[UpstreamChannel]] = {}

    def acquire(self, upstream: Upstream) -> UpstreamChannel:
        """Return an idle connection to an upstream, or a new one.

        :param upstream: the upstream.
        :raises ChannelError: it cannot be connected to.
        """
        key = (upstream.upstream_id, upstream.address)
        while True:
            with self._lock:
                idle = self._idle.get(key)
                channel = idle.pop() if idle else None
            if channel is None:
                return UpstreamChannel(upstream.address)
            if channel.is_usable():
                return channel
            channel.reset()

    def release(self, upstream: Upstream, channel: UpstreamChannel) -> None:
        """Keep a connection for the next request, or close it.

        :param upstream: the upstream.
        :param channel: the connection, on which nothing is awaited.
        """
        key = (upstream.upstream_id, upstream.address)
        kept = channel.is_usable()
        if kept:
            with self._lock:
                idle = self._idle.setdefault(key, [])
                kept = len(idle) < MAX_IDLE_CHANNELS
                if kept:
                    idle.append(channel)
        if not kept:
            channel.reset()
