"""HTTP control of the links of a process."""

from standins.http import Request, Response, json_response
from standins.proxy._faults import fault_from_dict
from standins.proxy._link_set import LinkSet


class ProxyHandler:
    """Answers ``GET /links``, ``PUT /links`` and ``PUT /faults``.

    ``PUT /links`` takes an object of links by name, each with ``listen`` and ``target`` as pairs of
    host and port, and ``source`` if connections to the target are to come from an IP number.
    ``PUT /faults`` takes an object of faults by pattern of names; both answer what came of it.

    :param links: the links.
    """

    def __init__(self, links: LinkSet) -> None:
        self._links = links

    def __call__(self, req: Request) -> Response:
        """Answer one request.

        :param req: the request.
        """
        try:
            return self._answer(req)
        except (ValueError, KeyError, TypeError, OSError) as exc:
            return json_response(400, {"error": f"{type(exc).__name__}: {exc}"})

    def _answer(self, req: Request) -> Response:
        match req.method, req.path:
            case "GET", "/links":
                return json_response(200, self._links.addresses())
            case "PUT", "/links":
                return json_response(200, self._add_links(req))
            case "PUT", "/faults":
                return json_response(200, self._set_faults(req))
        return json_response(404, {"error": "no such call"})

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
