"""An upstream of the model: it freezes, thaws, restarts, and reads late what was sent to it."""

from collections.abc import Callable
from dataclasses import replace

from foxtailshunt.timing import Clock
from foxtailshunt.upstream import Grant, GrantReply, UpstreamConnectionError
from standins.ownership.model._rules import Rules
from standins.ownership.model._world import ModelClock, Process, World


class ModelUpstream:
    """One upstream and the way to it.

    :param world: time and network.
    :param upstream_id: the upstream.
    :param rules: the rules in force.
    :param on_grant: called after each grant that it took.
    """

    def __init__(
        self, world: World, upstream_id: str, rules: Rules, on_grant: Callable[[], None]
    ) -> None:
        self.process = Process(upstream_id)
        self._world = world
        self._on_grant = on_grant
        clock = ModelClock(world, self.process, world.rng.choice((0.99, 1.01)), 0.0)
        self.upstream = rules.upstream_class(clock)

    def freeze(self, duration_s: float) -> None:
        """Freeze; messages stay in its sockets until it thaws."""
        self.process.paused_until = self._world.time + duration_s

    def client_for(self, sender: Process, clock: Clock) -> "_ModelClient":
        """Return a dispatcher's client."""
        return _ModelClient(self, self._world, sender, clock)

    def take(self, grant: Grant) -> GrantReply:
        """Take a grant that arrived."""
        reply = self.upstream.take(grant, 0.0)
        self._on_grant()
        return reply


class _ModelClient:
    def __init__(self, target: ModelUpstream, world: World, sender: Process, clock: Clock) -> None:
        self.address = ("127.0.0.1", 1)
        self._target = target
        self._world = world
        self._sender = sender
        self._clock = clock

    def send_grant(self, grant: Grant, timeout_s: float) -> GrantReply:
        reply = self._world.call(self._target.process, lambda: self._target.take(grant), timeout_s)
        if not isinstance(reply, GrantReply):
            raise UpstreamConnectionError("timeout", sent=True, refused=False)
        reading = replace(reply.reading, received_at=self._clock.now())
        return replace(reply, reading=reading)
