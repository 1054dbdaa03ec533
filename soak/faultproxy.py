"""A loopback TCP proxy that can delay data, reset connections, or discard the data of one or both directions."""

import asyncio

MODES = ("ok", "delay", "reset", "silent", "one_way")


class FaultProxy:
    """Forwards one port to a target; a change of mode also applies to open connections."""

    def __init__(self, target):
        self.target = target
        self.mode = "ok"
        self.delay = 0.15
        self.address = ""
        self._writers = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self._writers):
                writer.transport.abort()

    def stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        host, port = self.target.rsplit(":", 1)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        await asyncio.gather(self._forward(reader, upstream_writer, False),
                             self._forward(upstream_reader, writer, True))
        self._writers -= {writer, upstream_writer}

    async def _forward(self, reader, writer, is_response):
        try:
            while data := await reader.read(65536):
                if self.mode == "silent" or (self.mode == "one_way" and is_response):
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()
