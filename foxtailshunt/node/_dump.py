"""State of a node as a JSON document for operators."""

import os
from dataclasses import asdict
from typing import Any

from foxtailshunt.fleet import FleetView


def describe_node(
    instance_id: str, leads: bool, stopping: bool, view: FleetView, load: tuple[int, int]
) -> dict[str, Any]:
    """Return the state of a node.

    :param instance_id: id of the node's instance.
    :param leads: whether the node is the leader.
    :param stopping: whether the node is stopping.
    :param view: the node's view of the fleet.
    :param load: number of requests waiting for a slot, and number in flight to upstreams.
    """
    waiting, running = load
    services = view.routes.services.values() if view.routes is not None else ()
    return {
        "instance": instance_id,
        "pid": os.getpid(),
        "leads": leads,
        "stopping": stopping,
        "versions": asdict(view.versions),
        "services": [{"name": item.name, "keyed": item.keyed} for item in services],
        "upstreams_age_s": view.upstreams_age_s(),
        "upstreams": [
            asdict(item) | {"warmup_s": view.warmup_remaining_s(item)}
            for item in view.upstreams.values()
        ],
        "evacuated_zones": sorted(view.evacuated_zones),
        "members": [asdict(item) for item in view.members],
        "ranges": [asdict(item) for item in view.ownership.ranges],
        "waiting": waiting,
        "running": running,
    }
