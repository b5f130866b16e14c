"""Messages for tests of the peer protocol."""

from foxtailshunt.protocol import RelayRequest


def make_relay_request() -> RelayRequest:
    """Return a request without a key or body."""
    return RelayRequest(
        request_id="r1",
        service_name="desk",
        method="GET",
        target="/",
        headers=[],
        body=b"",
        remaining_ms=1000,
        aim_ms=100,
        rank=0,
        route="look-up",
        excluded=[],
    )
