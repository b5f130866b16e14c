"""Checks rule LOST at a machine whose process ends by itself."""


def lost_on_kept_connections(outcomes, runs, kills):
    """Return the requests that were passed on and whose kept connection closed without an answer.

    :param kills: node's name and moment of each end.
    """
    ran = {run["attempt"]: run for run in runs}
    found = []
    for row in outcomes:
        run = ran.get(row["attempt"])
        if row["status"] is not None or run is None or not row["reused"]:
            continue
        for name, moment in kills:
            if row["node"] == name and row["at"] <= moment <= row["done"] <= moment + 1.0:
                found.append(
                    f"{row['attempt']} ({row['kind']}) on a kept connection to {name} was passed on"
                    f" to {run['target']}, and the connection ended without an answer"
                    f" {row['done'] - row['at']:.3f} s after it was sent"
                )
                break
    return found
