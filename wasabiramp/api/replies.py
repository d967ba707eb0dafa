"""Response builders and request parsers shared by all routes."""

from __future__ import annotations

import json
from typing import Any

from aiohttp import web
import orjson

from wasabiramp.core.records import encode_json


class BadRequestError(Exception):
    """Raised for an invalid request before it changes anything; the message names the field."""


def reply_json(value: Any, status: int = 200, headers: dict[str, str] | None = None) -> Any:
    """Return a JSON response of records or plain values."""
    return web.Response(
        text=encode_json(value), status=status, content_type="application/json", headers=headers
    )


def reply_error(status: int, message: str) -> web.Response:
    """Return an error response in the format of all routes."""
    return web.Response(
        body=orjson.dumps({"kind": "Status", "status": "Failure", "message": message}),
        status=status,
        content_type="application/json",
    )


def _build_unique_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build a JSON object; raises BadRequestError for a duplicate field."""
    built: dict[str, Any] = {}
    for name, value in pairs:
        if name in built:
            raise BadRequestError(f"{name}: the field stands twice")
        built[name] = value
    return built


def _refuse_constant(name: str) -> Any:
    """Raise BadRequestError for NaN and infinities, which are not valid JSON."""
    raise BadRequestError(f"body: {name} is not a number")


async def async_read_json(request: web.Request) -> Any:
    """Return the JSON body of a request; raises BadRequestError when it is not valid JSON."""
    data = await request.read()
    try:
        return json.loads(
            data, object_pairs_hook=_build_unique_object, parse_constant=_refuse_constant
        )
    except (ValueError, RecursionError) as err:
        raise BadRequestError(f"body: not JSON: {err}") from err


@web.middleware
async def async_catch_errors(request: web.Request, handler: Any) -> web.StreamResponse:
    """Convert exceptions of a handler into error responses."""
    try:
        return await handler(request)
    except BadRequestError as err:
        return reply_error(400, str(err))
    except web.HTTPRequestEntityTooLarge as err:
        return reply_error(413, f"body: {err.text}")
    except web.HTTPException as err:
        return reply_error(err.status, err.reason)


def parse_number_header(
    request: web.Request, header: str, default: float, lowest: float, highest: float
) -> float:
    """Return a number from a header, or the default when the header is missing.

    Raises BadRequestError when the value is not a number in the range.
    """
    text = request.headers.get(header)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not lowest <= value <= highest:
        raise BadRequestError(f"{header}: expected a number from {lowest} to {highest}")
    return value
