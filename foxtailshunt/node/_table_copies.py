"""Exchange of the ownership tables that nodes hold, after the store returned from an older copy."""

from foxtailshunt import protocol
from foxtailshunt.assigning import Leadership, find_own_copy
from foxtailshunt.errors import PeerUnreachableError
from foxtailshunt.fleet import Address, FleetView, Member, TableCopy, TablePosition, Versions
from foxtailshunt.node._messages import (
    from_ownership_message,
    to_member_message,
    to_ownership_message,
    to_versions_message,
)
from foxtailshunt.platform import StoreClient
from foxtailshunt.protocol import ClientPool, FollowReply, FollowRequest
from foxtailshunt.protocol.gen import Peer
from foxtailshunt.telemetry import log_state_change

#: Timeout of fetching a table from another node, in seconds; the largest ones take 0.3 s on a link
#: of 5 Mbit/s.
FETCH_TIMEOUT_S = 1.0


def statement_to_leader(
    view: FleetView, leadership: Leadership, store: StoreClient
) -> protocol.TableCopy | None:
    """Return what a node states to the leader about its copy; None if it is of the current era.

    :param view: the node's view.
    :param leadership: the node's part in elections.
    :param store: the store, whose era is compared.
    """
    copy = find_own_copy(view, leadership)
    if copy is None or copy.position.era >= store.era:
        return None
    return to_copy_message(copy, with_ranges=False)


def reply_with_copy(
    req: FollowRequest, view: FleetView, leadership: Leadership
) -> protocol.TableCopy | None:
    """Return the copy to send to a new leader; None if it did not ask for a newer one.

    :param req: the leader's request, which does not wait.
    :param view: the view of the replying node.
    :param leadership: the replying node's part in elections.
    """
    if req.table_copy is None or req.wait_ms > 0 or leadership.term is not None:
        return None
    copy = find_own_copy(view, leadership)
    if copy is None or copy.position <= to_position(req.table_copy):
        return None
    return to_copy_message(copy, with_ranges=True)


def to_position(message: protocol.TableCopy) -> TablePosition:
    """Return the position of a copy that a message states.

    :param message: the message.
    """
    return TablePosition(message.era, message.term, message.token)


def to_copy_message(copy: TableCopy, with_ranges: bool) -> protocol.TableCopy:
    """Convert a copy to a message.

    :param copy: the copy.
    :param with_ranges: False to state only its position.
    """
    position = copy.position
    return protocol.TableCopy(
        era=position.era,
        term=position.term,
        token=position.token,
        final_before=copy.final_before or None,
        ranges=to_ownership_message(copy.ranges) if with_ranges else None,
    )


class CopyFetcher:
    """Fetches the tables that other nodes hold.

    :param local_member: this node.
    :param view: this node's view.
    """

    def __init__(self, local_member: Member, view: FleetView) -> None:
        self._local_member = local_member
        self._view = view

    def fetch(self, address: Address) -> TableCopy | None:
        """Return the copy of the node at an address; None if it does not return one.

        :param address: host and port at which the node serves other nodes.
        """
        req = FollowRequest(
            member=to_member_message(self._local_member),
            known=to_versions_message(Versions()),
            wait_ms=0,
            demands=[],
            paces=[],
            table_copy=protocol.TableCopy(era=0, term=0, token=0),
        )
        try:
            reply: FollowReply = ClientPool(Peer, 0).call(address, "follow", req, FETCH_TIMEOUT_S)
        except PeerUnreachableError as exc:
            log_state_change("table_copy.not_fetched", address=address, error=exc.message)
            return None
        message = reply.table_copy
        if message is None or message.ranges is None:
            return None
        ranges = tuple(from_ownership_message(message.ranges))
        return TableCopy(message.term, ranges, message.final_before or 0)
