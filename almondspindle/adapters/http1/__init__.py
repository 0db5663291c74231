"""HTTP/1.1 on asyncio transports, parsed by httptools: the path of callers' requests."""
