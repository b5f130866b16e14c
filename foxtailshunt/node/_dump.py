"""A node's knowledge as a JSON document, for operators."""

import os
from dataclasses import asdict
from typing import Any

from foxtailshunt.fleet import FleetView


def describe_node(
    instance_id: str, leads: bool, stopping: bool, view: FleetView, load: tuple[int, int]
) -> dict[str, Any]:
    """Return what a node knows.

    :param instance_id: the node's instance.
    :param leads: whether it leads.
    :param stopping: whether it is leaving.
    :param view: what it knows.
    :param load: requests that wait for a slot, and that are at upstreams.
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
        "upstreams": [asdict(item) for item in view.upstreams.values()],
        "members": [asdict(item) for item in view.members],
        "ranges": [asdict(item) for item in view.ownership.ranges],
        "waiting": waiting,
        "running": running,
    }
