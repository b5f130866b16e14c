"""Since when this dispatcher has seen every request of a key.

A moment may be older than this dispatcher's own time as the sender: the memory of the sender before
it, or of the sender of the upstream that owned a slot before, is taken over with its moments. The
rules of :class:`MemoryEra` make sure that no request can have been sent by a third one in between;
docs/DESIGN.md, "Handing over the request memory", has the argument.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from foxtailshunt.ownership import Fence, UpstreamRow
from foxtailshunt.timing import Clock

#: Time between two observations of the right after which another dispatcher may have had it in
#: between, in seconds; well below the assent period.
_MAX_OBSERVATION_GAP_S = 0.3


@dataclass(frozen=True, slots=True)
class Departure:
    """A slot that left the upstream."""

    #: The fence of the first row without the slot.
    fence: Fence
    #: The slot's moment.
    moment: float


@dataclass(frozen=True, slots=True)
class MemoryMoments:
    """Moments in wall time, in seconds since the epoch."""

    #: The fence of the upstream's row that they belong to.
    fence: Fence
    #: Moments by slot.
    slots: dict[int, float]
    #: Moments of keys that differ from their slots'.
    keys: dict[str, float]
    #: Slots that left before.
    departed: dict[int, Departure] = field(default_factory=dict)
    #: Whether a higher row may be followed from this one: no key is apart from its slot, and no
    #: slot can have left and come back since.
    fits_next_row: bool = False


class MemoryEra:
    """The moments from which on one upstream's requests were all sent here.

    A key's moment is when the right to send its requests was first seen here, without a gap since.
    It starts anew when the right lapses, when the upstream gains the key's slot, and when the key
    is pinned to the upstream or returned to its slot. Its owner's lock guards it.

    :param clock: the clock; moments are wall time, to be compared with request ids.
    :param slot_of: returns the slot of a key.
    """

    def __init__(self, clock: Clock, slot_of: Callable[[str], int]) -> None:
        self._clock = clock
        self._slot_of = slot_of
        self._row: UpstreamRow | None = None
        self._observed_at: float | None = None
        self._slots: dict[int, float] = {}
        self._keys: dict[str, float] = {}
        self._pending_keys: set[str] = set()
        # Slots that left while the right was held, and those that came, with the fence of the
        # last row without them.
        self._departed: dict[int, Departure] = {}
        self._arrived: dict[int, Fence] = {}

    def take_row(self, row: UpstreamRow | None) -> None:
        """Follow a change of the upstream's row in the table.

        :param row: the row now.
        """
        old = self._row
        self._row = row
        if old is None or row is None:
            self.end()
            return
        self._follow_slots(old, row)
        gained = (row.pins - old.pins) | (old.excluded - row.excluded - row.pins)
        for key in gained:
            self._keys.pop(key, None)
            self._pending_keys.add(key)

    def end(self) -> None:
        """Forget all moments because the right lapsed."""
        self._observed_at = None
        self._slots.clear()
        self._keys.clear()
        self._pending_keys.clear()
        self._departed.clear()
        self._arrived.clear()

    def hand_over(self) -> MemoryMoments | None:
        """End the era and return its moments, None if the right was not held without a gap.

        Called while the right is still held and nothing more is sent under it.
        """
        row = self._row
        moments = None
        if row is not None and self._is_continuous():
            keys = self._known_keys()
            moments = MemoryMoments(
                row.fence,
                dict(self._slots),
                keys,
                dict(self._departed),
                fits_next_row=not (keys or row.pins or row.excluded),
            )
        self.end()
        return moments

    def departed(self, slots: frozenset[int], fence: Fence) -> MemoryMoments | None:
        """Return the moments of slots that left the upstream, None if the right had a gap.

        :param slots: the slots.
        :param fence: the fence of the row that no longer listed them, or a lower one.
        """
        if self._row is None or not self._is_continuous():
            return None
        moments = {
            slot: departure.moment
            for slot, departure in self._departed.items()
            if slot in slots and departure.fence >= fence
        }
        keys = {
            key: moment for key, moment in self._known_keys().items() if self._slot_of(key) in slots
        }
        return MemoryMoments(fence, moments, keys)

    def take_over(self, moments: MemoryMoments, fence: Fence) -> bool:
        """Take the moments of the sender directly before; False if they don't fit the row.

        :param moments: what it handed over.
        :param fence: the fence of the row when this dispatcher became the sender.
        """
        row = self._row
        if row is None or row.fence != fence or not _follows(row, moments):
            return False
        for slot, moment in moments.slots.items():
            if slot in row.slots:
                self._take_moment(slot, moment)
            else:
                self._departed[slot] = Departure(row.fence, moment)
        for slot in moments.departed.keys() - row.slots:
            self._departed[slot] = moments.departed[slot]
        for key, moment in moments.keys.items():
            self._keys[key] = moment
            self._pending_keys.discard(key)
        return True

    def take_arrival(self, fence: Fence, moments: MemoryMoments) -> bool:
        """Take the moments of slots that came from another upstream; False if none fits.

        :param fence: the fence of the first row with the slots.
        :param moments: what the sender of the other upstream knows.
        """
        row = self._row
        if row is None or not self._is_continuous():
            return False
        fitting = {
            slot
            for slot in row.slots & moments.slots.keys()
            if slot in self._arrived and self._arrived[slot] < fence <= row.fence
        }
        for key, moment in moments.keys.items():
            if self._slot_of(key) in fitting:
                self._keys[key] = max(moment, self._keys.get(key, moment))
        for slot in fitting:
            self._take_moment(slot, moments.slots[slot])
        return bool(fitting)

    def observe(self, is_held: bool, may_send: Callable[[int, str], bool]) -> None:
        """Observe the right; called at short intervals.

        :param is_held: whether this dispatcher is the upstream's only sender now.
        :param may_send: returns whether the right to send for a slot and key is in force now.
        """
        row = self._row
        if row is None or not is_held:
            self.end()
            return
        self._note_observation()
        for slot in row.slots.difference(self._slots):
            if not may_send(slot, ""):
                break
            self._slots[slot] = self._clock.wall_time()
        for key in [*self._pending_keys, *row.pins.difference(self._keys)]:
            if may_send(self._slot_of(key), key):
                self._keys[key] = self._clock.wall_time()
                self._pending_keys.discard(key)

    def since(self, slot: int, key: str) -> float:
        """Return the moment of a key, now if it had none; called while the right is in force.

        :param slot: the key's slot.
        :param key: the key.
        :returns: wall time in seconds since the epoch.
        """
        self._note_observation()
        if key in self._pending_keys or (self._row and key in self._row.pins):
            self._pending_keys.discard(key)
            return self._keys.setdefault(key, self._clock.wall_time())
        moment = self._slots.setdefault(slot, self._clock.wall_time())
        return max(moment, self._keys.get(key, moment))

    def _follow_slots(self, old: UpstreamRow, row: UpstreamRow) -> None:
        is_continuous = self._is_continuous()
        for slot in old.slots - row.slots:
            moment = self._slots.pop(slot, None)
            self._arrived.pop(slot, None)
            if moment is not None and is_continuous:
                self._departed[slot] = Departure(row.fence, moment)
        for slot in row.slots - old.slots:
            self._departed.pop(slot, None)
            if is_continuous:
                self._arrived[slot] = old.fence

    def _take_moment(self, slot: int, moment: float) -> None:
        self._slots[slot] = min(moment, self._slots.get(slot, moment))

    def _known_keys(self) -> dict[str, float]:
        """Return the moments of keys; a key not seen yet has no request before now."""
        return {**self._keys, **dict.fromkeys(self._pending_keys, self._clock.wall_time())}

    def _is_continuous(self) -> bool:
        last = self._observed_at
        return last is not None and self._clock.now() - last <= _MAX_OBSERVATION_GAP_S

    def _note_observation(self) -> None:
        now = self._clock.now()
        last = self._observed_at
        if last is not None and now - last > _MAX_OBSERVATION_GAP_S:
            self.end()
        self._observed_at = now


def _follows(row: UpstreamRow, moments: MemoryMoments) -> bool:
    if row.fence == moments.fence:
        return True
    is_plain = not (row.pins or row.excluded)
    return row.fence > moments.fence and moments.fits_next_row and is_plain
