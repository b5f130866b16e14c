"""HTTP control interface for the links of a process."""

from standins.http import Request, Response, json_response
from standins.proxy._faults import fault_from_dict
from standins.proxy._link_set import LinkSet


class ProxyHandler:
    """Handles ``GET /links``, ``PUT /links`` and ``PUT /faults``.

    ``PUT /links`` takes an object of links by name, each with ``listen`` and ``target`` as pairs of
    host and port, and optionally ``source``, the source IP address of connections to the target. It
    returns the listening addresses by name. ``PUT /faults`` takes an object of faults by name
    pattern and returns the number of matching links by pattern.

    :param links: the links.
    """

    def __init__(self, links: LinkSet) -> None:
        self._links = links

    def __call__(self, req: Request) -> Response:
        """Handle one request.

        :param req: the request.
        """
        try:
            return self._handle(req)
        except (ValueError, KeyError, TypeError, OSError) as exc:
            return json_response(400, {"error": f"{type(exc).__name__}: {exc}"})

    def _handle(self, req: Request) -> Response:
        match req.method, req.path:
            case "GET", "/links":
                return json_response(200, self._links.addresses())
            case "PUT", "/links":
                return json_response(200, self._add_links(req))
            case "PUT", "/faults":
                return json_response(200, self._set_faults(req))
        return json_response(404, {"error": "no such method and path"})

    def _add_links(self, req: Request) -> dict[str, tuple[str, int]]:
        added: dict[str, tuple[str, int]] = {}
        for name, link in req.json_body().items():
            listen_host, listen_port = link["listen"]
            target_host, target_port = link["target"]
            added[name] = self._links.add_link(
                name, (listen_host, listen_port), (target_host, target_port), link.get("source")
            )
        return added

    def _set_faults(self, req: Request) -> dict[str, int]:
        faults = {pattern: fault_from_dict(value) for pattern, value in req.json_body().items()}
        return {
            pattern: self._links.set_faults(pattern, fault) for pattern, fault in faults.items()
        }
