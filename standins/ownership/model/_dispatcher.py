"""A dispatcher process of the model: the real parts, with loops in virtual time."""

from collections.abc import Callable

from foxtailshunt.errors import PeerUnreachableError
from foxtailshunt.ownership import ProcessRef
from foxtailshunt.ownership._periods import (
    ASSENT_INTERVAL_S,
    ASSENT_TIMEOUT_S,
    GRANT_RENEW_INTERVAL_S,
)
from foxtailshunt.ownership.authority import RenewalResult
from foxtailshunt.protocol import AssentReply, AssentRequest, UpstreamReport
from standins.ownership._documents import config_document
from standins.ownership._rig import DispatcherRig
from standins.ownership.model._rules import Rules
from standins.ownership.model._upstream import ModelUpstream
from standins.ownership.model._world import ModelClock, Process, World

_PAUSE_SHARE = 0.0005
_REPORT_INTERVAL_S = 0.1

#: Finds the process that runs on an instance now.
DispatcherFinder = Callable[[str], "ModelDispatcher"]


class ModelDispatcher:
    """One incarnation of a dispatcher process.

    :param world: time and network.
    :param name: the instance.
    :param start_number: counts the starts of the process.
    :param upstreams: the upstreams by id.
    :param find: finds the other dispatchers.
    :param report_to: takes reports.
    :param rules: the rules in force.
    """

    def __init__(
        self,
        world: World,
        name: str,
        start_number: int,
        upstreams: dict[str, ModelUpstream],
        find: DispatcherFinder,
        report_to: Callable[[Process, list[UpstreamReport]], None],
        rules: Rules,
    ) -> None:
        self.process = Process(name)
        self._world = world
        self._upstreams = upstreams
        self._find = find
        self._report_to = report_to
        clock = ModelClock(world, self.process, world.rng.choice((0.99, 1.01)), _PAUSE_SHARE)
        self._clients = {
            upstream_id: upstream.client_for(self.process, clock)
            for upstream_id, upstream in upstreams.items()
        }
        self.rig = DispatcherRig(name, start_number, clock, self._call, self, rules.make_ledger)
        self.rig.view.accept_config(1, config_document(upstreams))
        self._asked: set[str] = set()
        self._jitter = world.rng.uniform
        for upstream_id in upstreams:
            world.spawn(self.process, lambda name=upstream_id: self._renew(name))
        world.spawn(self.process, self._report)

    def client(self, upstream_id: str) -> object:
        """Return the client of an upstream."""
        return self._clients[upstream_id]

    def take_table(self, document: str) -> None:
        """Take a table and ask its witnesses from now on."""
        self.rig.view.accept_table(document)
        for ref in self._witnesses():
            if ref.boot_id not in self._asked:
                self._asked.add(ref.boot_id)
                self._world.spawn(self.process, lambda ref=ref: self._ask(ref))

    def _witnesses(self) -> list[ProcessRef]:
        table = self.rig.view.table("wanaka")
        if table is None:
            return []
        members = {boot_id for group in table.witness_sets for boot_id in group}
        return [ref for ref in table.dispatchers if ref.boot_id in members]

    def _ask(self, ref: ProcessRef) -> None:
        while ref in self._witnesses():
            self.rig.asker.ask(ref)
            self._world.sleep(self._jitter(0.5, 1.1) * ASSENT_INTERVAL_S)
        self._asked.discard(ref.boot_id)

    def _call(self, ref: ProcessRef, req: AssentRequest) -> AssentReply:
        target = self._find(ref.instance_id)
        reply = self._world.call(
            target.process, lambda: target.rig.witness.assent(req), ASSENT_TIMEOUT_S
        )
        if reply is None:
            raise PeerUnreachableError("no answer", sent=True)
        assert isinstance(reply, AssentReply)
        return reply

    def _renew(self, upstream_id: str) -> None:
        while True:
            self.rig.handover.step(upstream_id)
            if self.rig.renewer.renew(upstream_id) is not RenewalResult.REPEAT:
                self._world.sleep(self._jitter(0.5, 1.1) * GRANT_RENEW_INTERVAL_S)

    def _report(self) -> None:
        while True:
            self._report_to(self.process, self.rig.reporter.reports())
            self._world.sleep(_REPORT_INTERVAL_S)
