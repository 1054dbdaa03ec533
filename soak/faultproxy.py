"""A loopback TCP proxy whose connections can be delayed, reset, silenced or cut in one direction."""

import asyncio

MODES = ("ok", "delay", "reset", "silent", "one_way")


class FaultProxy:
    """Forwards one port to a target; the mode holds for open connections too."""

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
            upstream_reader, upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream}
        await asyncio.gather(self._pump(reader, upstream, False), self._pump(upstream_reader, writer, True))
        self._writers -= {writer, upstream}

    async def _pump(self, reader, writer, backwards):
        try:
            while data := await reader.read(65536):
                if self.mode == "silent" or (self.mode == "one_way" and backwards):
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()
