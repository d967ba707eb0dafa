"""HTTP calls with short timeouts, whose errors say whether a call may have had an effect."""

from __future__ import annotations

from typing import Any, Final

import aiohttp
import orjson

CONNECTIONS_PER_TARGET: Final = 16
KEEPALIVE_S: Final = 15.0
CONNECT_TIMEOUT_S: Final = 1.0


class CallFailedError(Exception):
    """A call that had no effect: no connection, or an error status below 500 or of 503."""


class CallUnknownError(Exception):
    """A call that may have had an effect: its answer was lost, unreadable or an internal error."""


def make_session() -> aiohttp.ClientSession:
    """Return a session with a limited number of connections per target."""
    connector = aiohttp.TCPConnector(
        limit=0, limit_per_host=CONNECTIONS_PER_TARGET, keepalive_timeout=KEEPALIVE_S
    )
    return aiohttp.ClientSession(connector=connector)


async def async_call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> tuple[bytes, dict[str, str]]:
    """Call a service and return the complete body and the headers of its answer.

    Raises CallFailedError if the call had no effect, and CallUnknownError if it may have had one.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
    try:
        async with session.request(
            method, url, data=body or None, headers=headers, timeout=timeout
        ) as answer:
            data = await answer.read()
            if answer.status == 200:
                return data, dict(answer.headers)
            if answer.status < 500 or answer.status == 503:
                raise CallFailedError(f"status {answer.status}")
            raise CallUnknownError(f"status {answer.status}")
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as err:
        raise CallFailedError(f"no connection: {err}") from err
    except (TimeoutError, aiohttp.ClientError, OSError) as err:
        raise CallUnknownError(f"answer lost: {type(err).__name__}") from err


async def async_call_json(
    session: aiohttp.ClientSession, method: str, url: str, timeout_s: float, body: Any = None
) -> Any:
    """Call a service with a JSON body and return its JSON answer."""
    data = orjson.dumps(body) if body is not None else b""
    answer, _headers = await async_call(session, method, url, timeout_s, data)
    try:
        return orjson.loads(answer)
    except ValueError as err:
        raise CallUnknownError("the answer is not JSON") from err
