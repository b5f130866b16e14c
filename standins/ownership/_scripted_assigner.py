"""An assigner that publishes what a test gives it."""

import random
import threading

from foxtailshunt.ownership import Address
from foxtailshunt.protocol import FenceMessage, Member, ProtocolServer, SyncReply, SyncRequest
from foxtailshunt.protocol.gen import Assigner

_PORT = 7100
_MAX_WAIT_S = 0.15


def random_host() -> str:
    """Return a loopback address that parallel runs do not share."""
    return f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"


class ScriptedAssigner:
    """Answers heartbeats with one configuration and one table."""

    def __init__(self, zone: str, cfg_document: str) -> None:
        self.address: Address = (random_host(), _PORT)
        self.senders: dict[str, Member] = {}
        self.requests: list[SyncRequest] = []
        self._zone = zone
        self._cfg_document = cfg_document
        self._table: str | None = None
        self._fence = FenceMessage(0, 0)
        self._changed = threading.Condition()
        self._server = ProtocolServer(Assigner, self, self.address, lambda: None)
        self._server.start()

    def publish(self, fence: FenceMessage, table_document: str) -> None:
        """Publish a table."""
        with self._changed:
            self._fence, self._table = fence, table_document
            self._changed.notify_all()

    def sync(self, req: SyncRequest) -> SyncReply:
        """Answer a heartbeat, at once if there is anything newer."""
        with self._changed:
            self.senders[req.sender.instance_id] = req.sender
            self.requests.append(req)
            wait_s = min(req.wait_ms / 1000, _MAX_WAIT_S)
            self._changed.wait_for(lambda: self._has_news(req), wait_s)
            return self._reply(req)

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop(0.0)

    def _has_news(self, req: SyncRequest) -> bool:
        return req.cfg_version < 1 or self._wants_table(req)

    def _wants_table(self, req: SyncRequest) -> bool:
        known = [(version.fence.term, version.fence.version) for version in req.tables]
        return self._table is not None and (self._fence.term, self._fence.version) not in known

    def _reply(self, req: SyncRequest) -> SyncReply:
        return SyncReply(
            boot_id="assigner/1",
            active=True,
            cfg_version=1,
            cfg_document=self._cfg_document if req.cfg_version < 1 else None,
            table_documents=[self._table] if self._wants_table(req) else [],
            members_version=1,
            members=None,
            store_age_ms=0,
            zone=self._zone,
        )
