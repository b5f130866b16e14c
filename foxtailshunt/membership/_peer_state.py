"""What a sync agent knows of one assigner, and the messages that it exchanges with it."""

import threading
from dataclasses import dataclass

from foxtailshunt.membership._view import View
from foxtailshunt.ownership import Address
from foxtailshunt.protocol import (
    FenceMessage,
    Member,
    SyncReply,
    SyncRequest,
    UpstreamReport,
    ZoneVersion,
)

#: Members version that no assigner has, so that the whole list is sent.
_NO_MEMBERS_VERSION = -1


@dataclass(frozen=True, slots=True)
class PeerSnapshot:
    """One assigner as its last reply showed it."""

    #: Where it serves the inner protocol.
    address: Address
    #: Its availability zone, None before its first reply.
    zone: str | None
    #: True if it held its zone's assigner lease.
    active: bool
    #: Time since it last reached the platform's store when it replied, in seconds.
    store_age_s: float
    #: When the reply arrived, in seconds of the local monotonic clock; None before the first.
    answered_at: float | None
    #: The members that it knows.
    members: tuple[Member, ...]


class PeerState:
    """Builds requests to one assigner and takes its replies; safe to use from any thread.

    :param address: the assigner's address.
    :param view: where documents of replies go, and what requests tell.
    """

    def __init__(self, address: Address, view: View) -> None:
        self._view = view
        self._lock = threading.Lock()
        self._snapshot = PeerSnapshot(address, None, False, 0.0, None, ())
        self._boot_id = ""
        self._members_version = _NO_MEMBERS_VERSION
        self._wants_cfg = False
        self._wanted_tables: tuple[str, ...] = ()

    @property
    def snapshot(self) -> PeerSnapshot:
        """Return what the last reply showed."""
        return self._snapshot

    def make_request(
        self, sender: Member, reports: list[UpstreamReport], wait_ms: int
    ) -> SyncRequest:
        """Return the next request.

        :param sender: this process.
        :param reports: its reports on upstreams.
        :param wait_ms: longest time that the assigner may hold the request, in milliseconds.
        """
        with self._lock:
            members_version = self._members_version
            wants_cfg, wanted_tables = self._wants_cfg, self._wanted_tables
        cfg = self._view.cfg_record
        documents = [self._view.table_document(zone) for zone in wanted_tables]
        return SyncRequest(
            sender=sender,
            cfg_version=cfg.version if cfg else 0,
            tables=zone_versions(self._view),
            members_version=members_version,
            wait_ms=wait_ms,
            reports=reports,
            cfg_document=cfg.document if cfg and wants_cfg else None,
            table_documents=[document for document in documents if document] or None,
        )

    def take_reply(self, reply: SyncReply, received_at: float) -> None:
        """Take the documents and the state that a reply carries.

        :param reply: the reply.
        :param received_at: when it arrived, in seconds of the local monotonic clock.
        """
        with self._lock:
            members = self._snapshot.members if reply.boot_id == self._boot_id else ()
            self._members_version = (
                reply.members_version
                if reply.members is not None or reply.boot_id == self._boot_id
                else _NO_MEMBERS_VERSION
            )
            if reply.members is not None:
                members = tuple(reply.members)
            self._boot_id = reply.boot_id
            self._wants_cfg = bool(reply.wants_cfg)
            self._wanted_tables = tuple(reply.wanted_tables or ())
            self._snapshot = PeerSnapshot(
                address=self._snapshot.address,
                zone=reply.zone,
                active=reply.active,
                store_age_s=reply.store_age_ms / 1000,
                answered_at=received_at,
                members=members,
            )
        if reply.cfg_document is not None:
            self._view.accept_config(reply.cfg_version, reply.cfg_document)
        for document in reply.table_documents:
            self._view.accept_table(document)


def zone_versions(view: View) -> list[ZoneVersion]:
    """Return the fences of all tables of a view as messages.

    :param view: the view.
    """
    return [
        ZoneVersion(zone, FenceMessage(fence.term, fence.version))
        for zone, fence in sorted(view.table_fences().items())
    ]
