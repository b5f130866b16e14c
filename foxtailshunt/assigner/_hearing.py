"""Whether the active assigner hears enough of its zone to assign for it."""

from foxtailshunt.assigner._witness_choice import blocking_quorum
from foxtailshunt.ownership import ProcessRef, Table
from foxtailshunt.timing import Clock

#: Time that too few witnesses are heard before the lease is given up, in seconds.
DEAF_AFTER_S = 3.0


class HearingWatch:
    """Tells an assigner that is cut off from its zone, though not from the store.

    With fewer witnesses than could be handed over to another set, nothing that it decides can come
    into force, while another assigner may hear more. Used by one thread.

    :param clock: the clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._deaf_since: float | None = None

    def hears_enough(self, table: Table, heard: tuple[ProcessRef, ...]) -> bool:
        """Return whether enough witnesses are heard to decide anything.

        A witness that was restarted counts as heard.

        :param table: the table in force.
        :param heard: the dispatchers heard.
        """
        if self._hears_quorum(table, heard):
            self._deaf_since = None
            return True
        if self._deaf_since is None:
            self._deaf_since = self._clock.now()
        return False

    def is_deaf(self) -> bool:
        """Return whether too few were heard for so long that the lease should be given up."""
        since = self._deaf_since
        return since is not None and self._clock.now() - since >= DEAF_AFTER_S

    def _hears_quorum(self, table: Table, heard: tuple[ProcessRef, ...]) -> bool:
        if not table.witness_sets:
            return True
        instances = {ref.boot_id: ref.instance_id for ref in table.dispatchers}
        heard_instances = {ref.instance_id for ref in heard}
        members = table.witness_sets[0]
        count = sum(instances.get(boot_id) in heard_instances for boot_id in members)
        return count >= blocking_quorum(len(members))
