"""HTTP/1.1 on asyncio transports, parsed by httptools: a server and a target client."""
