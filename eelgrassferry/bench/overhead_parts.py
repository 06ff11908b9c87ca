"""The helper processes of the overhead benchmark: engine stand-ins and a byte relay.

``python -m eelgrassferry.bench.overhead_parts engines SPEC...`` runs one engine stand-in for each
SPEC, a comma-separated list of preloaded models. ``relay ADDRESS...`` connects each caller to one
of the engines in turn and copies bytes in both directions; the node is compared with it. Both print
one JSON line with their addresses.
"""

import asyncio
import itertools
import json
import sys
from collections.abc import Sequence

from ..http import split_address
from ..standins import EngineOptions, EngineStandin

__all__ = ["main"]

READ_BYTES = 64 * 1024
# The tokens of a stream are more than one tick apart, as from an engine that sends each token
# separately. All other speeds are high enough that the node never waits for them.
TICK_S = 0.002
STREAM_TOKENS_PER_S = 200.0
UNLIMITED_TOKENS_PER_S = 1e7
MEMORY_MIB = 1_000_000
MAX_BATCH = 256


async def run_engines(specs: Sequence[str]) -> None:
    """Run one engine stand-in for each list of models until the process is terminated."""
    engines = [
        EngineStandin(
            EngineOptions(
                memory_mib=MEMORY_MIB,
                prefill_tokens_per_s=UNLIMITED_TOKENS_PER_S,
                decode_tokens_per_s=UNLIMITED_TOKENS_PER_S,
                stream_tokens_per_s=STREAM_TOKENS_PER_S,
                max_batch=MAX_BATCH,
                load_lag_s=0.0,
                event_gap=0.0,
                tick_s=TICK_S,
                preload=tuple(f"{name}:1:1" for name in spec.split(",") if name),
            )
        )
        for spec in specs
    ]
    for engine in engines:
        await engine.start()
    print(json.dumps({"addresses": [engine.address for engine in engines]}), flush=True)
    await asyncio.Event().wait()


async def run_relay(targets: Sequence[str]) -> None:
    """Relay each connection to the next of the targets until the process is terminated."""
    target_cycle = itertools.cycle(targets)

    async def copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        up_reader, up_writer = await asyncio.open_connection(*split_address(next(target_cycle)))
        await asyncio.gather(copy(reader, up_writer), copy(up_reader, writer))

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    print(json.dumps({"addresses": [f"{host}:{port}"]}), flush=True)
    await asyncio.Event().wait()


def main(arguments: Sequence[str]) -> None:
    """Run the kind of process that the first argument names."""
    match arguments:
        case ["engines", *specs]:
            asyncio.run(run_engines(specs))
        case ["relay", *targets]:
            asyncio.run(run_relay(targets))
        case _:
            sys.exit("usage: overhead_parts engines SPEC... | relay ADDRESS...")


if __name__ == "__main__":
    main(sys.argv[1:])
