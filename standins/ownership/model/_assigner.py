"""The assigner of the model: moves slots by the rules and replaces witnesses."""

from collections.abc import Callable
from dataclasses import dataclass, field

from foxtailshunt.errors import ResultCode
from foxtailshunt.ownership import ZERO_FENCE, Fence
from foxtailshunt.ownership.authority import (
    ASSENT_LAPSE_S,
    fence_from_message,
    fence_to_message,
)
from foxtailshunt.protocol import AssentItem, RefuseReply, RefuseRequest, UpstreamReport
from standins.ownership._documents import ZONE, row_of, table_document
from standins.ownership.model._dispatcher import ModelDispatcher
from standins.ownership.model._rules import Rules
from standins.ownership.model._world import Process, World

_STEP_S = 0.1
_REFUSE_TIMEOUT_S = 0.25
_PATIENCE_S = 0.7
_MOVE_SHARE = 0.3
_SLOTS = range(8)
_GONE = (ResultCode.ACCEPTED, ResultCode.WRONG_BOOT_ID)


@dataclass
class _Row:
    fence: Fence
    slots: frozenset[int]
    dispatchers: list[str]


@dataclass
class _Transit:
    upstream_id: str
    target_id: str
    fence: Fence
    slots: frozenset[int]
    began_at: float
    is_proven: bool = False
    takes_over: bool = field(default=False)


class ModelAssigner:
    """Writes tables, hears reports and decides when a move is finished.

    :param world: time and network.
    :param dispatchers: returns the processes that run now, by instance.
    :param upstream_ids: the upstreams.
    :param rules: the rules in force.
    """

    def __init__(
        self,
        world: World,
        dispatchers: Callable[[], dict[str, ModelDispatcher]],
        upstream_ids: list[str],
        rules: Rules,
    ) -> None:
        self.process = Process("assigner")
        self._world = world
        self._dispatchers = dispatchers
        self._rules = rules
        self._fence = Fence(1, 1)
        self._witness_sets = [self._boot_ids()]
        self._replaces_witnesses = False
        names = sorted(dispatchers())
        self._rows = {
            upstream_id: _Row(self._fence, frozenset(), self._order(names))
            for upstream_id in upstream_ids
        }
        self._rows[upstream_ids[0]].slots = frozenset(_SLOTS)
        self._transits: list[_Transit] = []
        self.finished_moves = 0
        self._document = self._make_document()
        world.spawn(self.process, self._run)

    def hear(self, reports: list[UpstreamReport]) -> None:
        """Take reports of a dispatcher."""
        for report in reports:
            for transit in self._transits:
                if transit.upstream_id == report.upstream_id and _proves(report, transit.fence):
                    transit.is_proven = True

    def _run(self) -> None:
        while True:
            self._finish_transits()
            self._maybe_move()
            self._maybe_replace_witnesses()
            for dispatcher in self._dispatchers().values():
                document = self._document
                self._world.send(
                    self.process,
                    dispatcher.process,
                    lambda d=dispatcher, text=document: d.take_table(text),
                )
            self._world.sleep(_STEP_S)

    def _maybe_move(self) -> None:
        if self._transits or self._world.rng.random() >= _MOVE_SHARE:
            return
        source_id, target_id = self._world.rng.sample(sorted(self._rows), 2)
        source = self._rows[source_id]
        if not source.slots:
            return
        count = self._world.rng.choice((len(source.slots), (len(source.slots) + 1) // 2))
        moved = frozenset(sorted(source.slots)[:count])
        self._next_fence()
        source.slots -= moved
        source.fence = self._fence
        source.dispatchers = self._order(source.dispatchers)
        now = self._world.time
        self._transits.append(_Transit(source_id, target_id, self._fence, moved, now))
        self._document = self._make_document()

    def _finish_transits(self) -> None:
        for transit in list(self._transits):
            if transit.is_proven:
                self._transits.remove(transit)
                self.finished_moves += 1
                self._next_fence()
                target = self._rows[transit.target_id]
                target.slots |= transit.slots
                target.fence = self._fence
                self._document = self._make_document()
            elif self._world.time - transit.began_at > _PATIENCE_S and not transit.takes_over:
                transit.takes_over = True
                self._world.spawn(self.process, lambda t=transit: self._take_over(t))

    def _take_over(self, transit: _Transit) -> None:
        item = AssentItem(transit.upstream_id, fence_to_message(transit.fence))
        if self._rules.has_refusals:
            self._refuse_at_majorities(ZERO_FENCE, [item], lambda: self._witness_sets)
        self._world.sleep(self._rules.wait_after_refusals_s)
        transit.is_proven = True

    def _maybe_replace_witnesses(self) -> None:
        if self._replaces_witnesses or self._witness_sets[-1] == self._boot_ids():
            return
        self._replaces_witnesses = True
        self._world.spawn(self.process, self._replace_witnesses)

    def _replace_witnesses(self) -> None:
        old, new = self._witness_sets[0], self._boot_ids()
        self._next_fence()
        self._witness_sets = [old, new]
        self._document = self._make_document()
        self._refuse_at_majorities(self._fence, [], lambda: [old])
        self._world.sleep(ASSENT_LAPSE_S)
        self._next_fence()
        self._witness_sets = [new]
        self._document = self._make_document()
        self._replaces_witnesses = False

    def _refuse_at_majorities(
        self, table_fence: Fence, items: list[AssentItem], sets: Callable[[], list[list[str]]]
    ) -> None:
        """Ask until most of each witness set refuse, or are proved gone by a successor."""
        refusing: set[str] = set()
        while not all(len(refusing & set(group)) * 2 > len(group) for group in sets()):
            asked = {boot_id for group in sets() for boot_id in group} - refusing
            for boot_id in sorted(asked):
                req = RefuseRequest(ZONE, boot_id, fence_to_message(table_fence), items)
                if self._refuse(boot_id, req) in _GONE:
                    refusing.add(boot_id)
            self._world.sleep(_STEP_S)

    def _refuse(self, boot_id: str, req: RefuseRequest) -> ResultCode | None:
        target = self._dispatchers()[boot_id.split("/")[0]]
        reply = self._world.call(
            target.process, lambda: target.rig.witness.refuse(req), _REFUSE_TIMEOUT_S
        )
        return ResultCode(reply.code) if isinstance(reply, RefuseReply) else None

    def _next_fence(self) -> None:
        self._fence = Fence(1, self._fence.version + 1)

    def _boot_ids(self) -> list[str]:
        return sorted(dispatcher.rig.boot_id for dispatcher in self._dispatchers().values())

    def _order(self, names: list[str]) -> list[str]:
        return self._world.rng.sample(sorted(names), len(names))

    def _make_document(self) -> str:
        rows = [
            row_of(upstream_id, row.fence, row.slots, row.dispatchers)
            for upstream_id, row in self._rows.items()
        ]
        refs = [dispatcher.rig.ref for dispatcher in self._dispatchers().values()]
        return table_document(self._fence, rows, refs, self._witness_sets)


def _proves(report: UpstreamReport, fence: Fence) -> bool:
    confirmed = report.confirmed_fence
    if confirmed is not None and fence_from_message(confirmed) >= fence:
        return True
    return report.lapsed and fence_from_message(report.fence) >= fence
