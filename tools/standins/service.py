"""Stand-in for a plain service that records the requests it receives."""

import functools
import os
from dataclasses import dataclass, field
from typing import Any

import anyio
import fire

from tools.standins.web import Request, run_server


@dataclass(slots=True)
class Service:
    """State of one service, kept in memory only.

    ``POST /control`` sets its fields.

    :param seconds: duration of each request.
    :param silent: record requests and never respond.
    :param crash: exit after recording a request.
    """

    target_id: str
    seconds: float = 0
    silent: bool = False
    crash: bool = False
    requests: list[dict[str, Any]] = field(default_factory=list)

    async def handle(self, request: Request) -> None:
        """Handle one HTTP request.

        :param request: with its body fully read.
        """
        if request.path == '/control':
            if request.method == 'POST':
                for name, setting in request.json().items():
                    setattr(self, name, setting)
            await request.send_json({'requests': self.requests})
            return
        if request.path == '/healthz':
            await request.send_json({'live': True})
            return
        self.requests.append(
            {
                'method': request.method,
                'path': request.path,
                'query': request.query,
                'headers': request.headers,
                'body': request.body.decode(errors='replace'),
            }
        )
        if self.crash:
            os._exit(1)
        if self.silent:
            await request.wait_for_disconnect()
            return
        await anyio.sleep(self.seconds)
        await request.send_json(
            {
                'service': self.target_id,
                'number': len(self.requests),
                'path': request.path,
            }
        )


def main(target_id: str, host: str = '127.0.0.1', port: int = 0) -> None:
    """Run the plain service stand-in.

    :param target_id: target ID as in the questionnaire.
    :param host: IP address to listen on.
    :param port: 0 selects a free port; the address is printed.
    """
    anyio.run(functools.partial(_serve, str(target_id), host, port))


async def _serve(target_id: str, host: str, port: int) -> None:
    service = Service(target_id)
    await run_server(service.handle, host, port)


if __name__ == '__main__':
    fire.Fire(main)
