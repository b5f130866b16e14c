"""The assigner's side of heartbeats: notes the sender, waits for news, answers."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.membership._member_registry import MemberRegistry
from foxtailshunt.membership._view import View
from foxtailshunt.ownership import Fence
from foxtailshunt.protocol import FenceMessage, Member, SyncReply, SyncRequest, UpstreamReport
from foxtailshunt.timing import Clock

_MAX_WAIT_S = 2.0
_MAX_STORE_AGE_S = 1e9


@dataclass(frozen=True, slots=True)
class AssignerStatus:
    """What an assigner tells of itself in every reply."""

    #: True while it surely holds its zone's assigner lease.
    active: bool
    #: Time since it last reached the platform's store, in seconds.
    store_age_s: float


class SyncService:
    """The handler of ``Assigner.sync``.

    :param own_member: describes this process; listed among the members.
    :param view: documents that replies carry, and that requests may bring.
    :param registry: notes the senders.
    :param note_reports: called with each sender and its reports.
    :param status: returns the assigner's state.
    :param clock: bounds the waits.
    """

    def __init__(
        self,
        own_member: Callable[[], Member],
        view: View,
        registry: MemberRegistry,
        note_reports: Callable[[Member, list[UpstreamReport]], None],
        status: Callable[[], AssignerStatus],
        clock: Clock,
    ) -> None:
        self._own_member = own_member
        self._view = view
        self._registry = registry
        self._note_reports = note_reports
        self._status = status
        self._clock = clock
        self._news = threading.Condition()
        self._stopping = False
        view.subscribe(self.wake)
        registry.subscribe(self.wake)

    def sync(self, req: SyncRequest) -> SyncReply:
        """Answer once there is something newer than the request's versions, or after its wait.

        :param req: the heartbeat.
        """
        self._registry.note(self._own_member())
        self._registry.note(req.sender)
        self._note_reports(req.sender, req.reports)
        if req.cfg_document is not None:
            self._view.accept_config(req.cfg_version, req.cfg_document)
        for document in req.table_documents or ():
            self._view.accept_table(document)
        deadline = self._clock.now() + min(req.wait_ms / 1000, _MAX_WAIT_S)
        with self._news:
            reply = self._make_reply(req)
            while not self._has_news(req, reply) and not self._stopping:
                remaining_s = deadline - self._clock.now()
                if remaining_s <= 0:
                    break
                self._news.wait(remaining_s)
                reply = self._make_reply(req)
        return reply

    def wake(self) -> None:
        """Let the waiting calls look for news."""
        with self._news:
            self._news.notify_all()

    def stop(self) -> None:
        """Answer the waiting calls at once, and all later ones without waiting."""
        self._stopping = True
        self.wake()

    def _has_news(self, req: SyncRequest, reply: SyncReply) -> bool:
        return bool(
            reply.cfg_document is not None
            or reply.table_documents
            or reply.members_version != req.members_version
            or reply.wants_cfg
            or reply.wanted_tables
        )

    def _make_reply(self, req: SyncRequest) -> SyncReply:
        own = self._own_member()
        status = self._status()
        members_version = self._registry.version
        members = None
        if members_version != req.members_version:
            members = list(self._registry.members())
        known = {entry.zone: _to_fence(entry.fence) for entry in req.tables}
        cfg = self._view.cfg_record
        cfg_version = cfg.version if cfg else 0
        return SyncReply(
            boot_id=own.boot_id,
            active=status.active,
            cfg_version=cfg_version,
            cfg_document=cfg.document if cfg and cfg.version > req.cfg_version else None,
            table_documents=self._newer_tables(known),
            members_version=members_version,
            members=members,
            store_age_ms=int(min(status.store_age_s, _MAX_STORE_AGE_S) * 1000),
            zone=own.zone,
            wants_cfg=req.cfg_version > cfg_version,
            wanted_tables=self._older_tables(known),
        )

    def _newer_tables(self, known: dict[str, Fence]) -> list[str]:
        documents = []
        for zone, fence in sorted(self._view.table_fences().items()):
            document = self._view.table_document(zone)
            if document is not None and (zone not in known or known[zone] < fence):
                documents.append(document)
        return documents

    def _older_tables(self, known: dict[str, Fence]) -> list[str]:
        own = self._view.table_fences()
        return [zone for zone, fence in known.items() if zone not in own or own[zone] < fence]


def _to_fence(fence: FenceMessage) -> Fence:
    return Fence(fence.term, fence.version)
