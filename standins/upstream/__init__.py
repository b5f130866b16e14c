"""Stand-in of an upstream: takes fenced grants, works under them, and records what it did.

The HTTP shape is that of docs/INTERFACES.md; switches and faults are set at ``/standin/control``.
"""

from standins.upstream._faults import Switches
from standins.upstream._handler import UpstreamHandler
from standins.upstream._health import HealthMode
from standins.upstream._ownership import Ownership, UncheckedOwnership

__all__ = ["HealthMode", "Ownership", "Switches", "UncheckedOwnership", "UpstreamHandler"]
