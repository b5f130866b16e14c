"""The assigner of a zone: which upstream owns which slots, and who dispatches for it.

Pure functions on records decide (``_assignment``, ``_dispatcher_lists``, ``_witness_choice``,
``_placement``, ``_planner``); small watches follow what has to be waited for; one thread writes.
"""

from foxtailshunt.assigner._active_term import ActiveTerm, LeaseLostError, ZoneParts
from foxtailshunt.assigner._assignment import distribute, quotas, surplus
from foxtailshunt.assigner._decision_log import DecisionLog
from foxtailshunt.assigner._dispatcher_lists import choose_dispatchers
from foxtailshunt.assigner._hearing import HearingWatch
from foxtailshunt.assigner._hot_keys import HotKeyWatch
from foxtailshunt.assigner._lease_keeper import LeaseKeeper
from foxtailshunt.assigner._live_dispatchers import LiveDispatchers
from foxtailshunt.assigner._load_weights import LoadWeights
from foxtailshunt.assigner._placement import (
    Placement,
    choose_rehomed,
    first_placement,
    placement_from_json,
    placement_key,
    placement_to_json,
)
from foxtailshunt.assigner._plan_input import PinPlan, PlanInput, TransitKey, UpstreamStates
from foxtailshunt.assigner._planner import plan_table
from foxtailshunt.assigner._platform_polls import CONFIG_KEY, ConfigWatcher, InstancePoll
from foxtailshunt.assigner._program import AssignerProgram
from foxtailshunt.assigner._refusal_round import PooledRefuseClient, RefusalRound, RefuseClient
from foxtailshunt.assigner._report_book import Report, ReportBook
from foxtailshunt.assigner._table_store import TableStore, lease_key, table_key
from foxtailshunt.assigner._transits import TransitWatch
from foxtailshunt.assigner._upstream_watch import UpstreamWatch
from foxtailshunt.assigner._witness_choice import blocking_quorum, choose_witnesses
from foxtailshunt.assigner._witness_watch import WitnessWatch
from foxtailshunt.assigner._zone_assigner import ZoneAssigner

__all__ = [
    "CONFIG_KEY",
    "ActiveTerm",
    "AssignerProgram",
    "ConfigWatcher",
    "DecisionLog",
    "HearingWatch",
    "HotKeyWatch",
    "InstancePoll",
    "LeaseKeeper",
    "LeaseLostError",
    "LiveDispatchers",
    "LoadWeights",
    "PinPlan",
    "Placement",
    "PlanInput",
    "PooledRefuseClient",
    "RefusalRound",
    "RefuseClient",
    "Report",
    "ReportBook",
    "TableStore",
    "TransitKey",
    "TransitWatch",
    "UpstreamStates",
    "UpstreamWatch",
    "WitnessWatch",
    "ZoneAssigner",
    "ZoneParts",
    "blocking_quorum",
    "choose_dispatchers",
    "choose_rehomed",
    "choose_witnesses",
    "distribute",
    "first_placement",
    "lease_key",
    "placement_from_json",
    "placement_key",
    "placement_to_json",
    "plan_table",
    "quotas",
    "surplus",
    "table_key",
]
