"""Tests of the listener and of finding who sent a request."""

from __future__ import annotations

import asyncio
import os

import aiohttp
from aiohttp import web

from stand_ins.listener import Listener
from stand_ins.paths import SenderFinder


async def async_get(url: str) -> str:
    """Return the answer to a request, or `refused`."""
    try:
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            return await answer.text()
    except aiohttp.ClientConnectorError:
        return "refused"


class TestListener:
    """A port that can be closed, and who is at the other end of its connections."""

    def test_closed_port_refuses_until_it_is_open_again(self) -> None:
        async def async_handle(_request: web.BaseRequest) -> web.Response:
            return web.Response(text="served")

        async def async_play() -> list[str]:
            listener = Listener(async_handle)
            url, answers = f"http://{listener.address}/", []
            await listener.async_open()
            answers.append(await async_get(url))
            listener.close()
            answers.append(await async_get(url))
            await listener.async_open()
            answers.append(await async_get(url))
            await listener.async_stop()
            return answers

        assert asyncio.run(async_play()) == ["served", "refused", "served"]

    def test_port_that_two_cuts_release_at_once_is_opened_once(self) -> None:
        # Guards against a seed that ends as two overlapping cuts of an executor heal together.
        async def async_handle(_request: web.BaseRequest) -> web.Response:
            return web.Response(text="served")

        async def async_play() -> list[str]:
            listener = Listener(async_handle)
            await asyncio.gather(listener.async_open(), listener.async_open())
            answers = [await async_get(f"http://{listener.address}/")]
            opening = asyncio.create_task(listener.async_open())
            listener.close()
            await opening
            listener.close()
            answers.append(await async_get(f"http://{listener.address}/"))
            await listener.async_stop()
            return answers

        assert asyncio.run(async_play()) == ["served", "refused"]

    def test_sender_is_the_process_at_the_other_end(self) -> None:
        finder = SenderFinder()
        finder.processes = {"gone": 2**22 - 1, "this": os.getpid()}

        async def async_handle(request: web.BaseRequest) -> web.Response:
            return web.Response(text=finder.find(request))

        async def async_play() -> str:
            listener = Listener(async_handle)
            await listener.async_open()
            answer = await async_get(f"http://{listener.address}/")
            await listener.async_stop()
            return answer

        assert asyncio.run(async_play()) == "this"
