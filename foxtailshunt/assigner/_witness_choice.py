"""Which dispatchers are a zone's witnesses."""

from foxtailshunt.ownership import ProcessRef

#: Most witnesses of a zone.
MAX_WITNESSES = 5

WitnessSet = tuple[str, ...]


def choose_witnesses(
    current: WitnessSet, live: tuple[ProcessRef, ...], missing: frozenset[str]
) -> WitnessSet:
    """Return the witness set that a zone should have.

    Witnesses stay as long as they can; free places go to live dispatchers by instance id.

    :param current: boot ids of the witnesses now.
    :param live: the live dispatchers.
    :param missing: boot ids that are silent but not yet given up.
    :returns: boot ids, sorted.
    """
    live_ids = {ref.boot_id for ref in live}
    chosen = [boot_id for boot_id in current if boot_id in live_ids or boot_id in missing]
    for ref in sorted(live, key=lambda ref: ref.instance_id):
        if len(chosen) < MAX_WITNESSES and ref.boot_id not in chosen:
            chosen.append(ref.boot_id)
    return tuple(sorted(chosen))


def blocking_quorum(size: int) -> int:
    """Return how many refusals leave a witness set without a majority.

    :param size: number of witnesses.
    """
    majority = size // 2 + 1
    return size - majority + 1
