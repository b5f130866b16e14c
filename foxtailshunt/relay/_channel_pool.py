"""Pool of idle connections to upstreams."""

import threading

from foxtailshunt.fleet import Upstream
from foxtailshunt.network import Address
from foxtailshunt.relay._channel import UpstreamChannel

#: Maximum number of idle connections to one upstream.
MAX_IDLE_CHANNELS = 3


class ChannelPool:
    """Reuses connections to upstreams; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, Address], list[UpstreamChannel]] = {}

    def acquire(self, upstream: Upstream) -> UpstreamChannel:
        """Return an idle connection to an upstream, or a new one.

        :param upstream: the upstream.
        :raises ChannelError: a new connection cannot be established.
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
        """Return a connection to the pool, or reset it if it can't be reused or the pool is full.

        :param upstream: the upstream.
        :param channel: the connection, without a pending response.
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
