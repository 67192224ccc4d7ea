"""The program ``walkcart-standin``: stand-ins as processes of their own.

``store``, ``leaves``, ``list`` and ``balancer`` each serve until they are
ended; ``--help`` of each shows its flags. Faults are injected by a POST of a
JSON object to ``/control`` of the store or of a leaf.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from random import Random

import trio

from walkcart.kernel.settings import BadValue, HostPort, parse_host_port
from walkcart.membership.listing import ROLE_INSTANCE, ROLE_LEAF, ListedInstance
from walkcart.standins.balancer import BalancerStandin
from walkcart.standins.leaf import LeafSpec, LeafStandin
from walkcart.standins.listing import ListStandin
from walkcart.standins.store import StoreStandin
from walkcart.wire.network import TcpNetwork

EXIT_USAGE = 2


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one kind of stand-in until the process is ended."""
    parser = _make_parser()
    options = parser.parse_args(arguments)
    try:
        trio.run(options.run, options)
    except KeyboardInterrupt:
        sys.exit(0)
    except (BadValue, OSError) as error:
        print(f"walkcart-standin: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="walkcart-standin", description=__doc__)
    kinds = parser.add_subparsers(required=True)
    store = kinds.add_parser("store", help="the key-value service")
    store.add_argument("--listen", default="127.0.0.1:7100")
    store.set_defaults(run=_run_store)
    listing = kinds.add_parser("list", help="the instance list")
    listing.add_argument("--listen", default="127.0.0.1:7101")
    listing.add_argument("--lag", type=float, default=0.0, help="seconds")
    listing.add_argument(
        "--leaves",
        action="append",
        default=[],
        metavar="GROUP:SHARDS:REPLICAS:IP:PORT",
        help="leaves to list: the same argument as that of `leaves`",
    )
    listing.add_argument(
        "--instance",
        action="append",
        default=[],
        metavar="NAME,ADDRESS,PEER_ADDRESS",
        help="a walkcart instance",
    )
    listing.set_defaults(run=_run_list)
    leaves = kinds.add_parser("leaves", help="several leaves in one process")
    leaves.add_argument("leaves", metavar="GROUP:SHARDS:REPLICAS:IP:PORT")
    leaves.add_argument("--median-ms", type=float, default=8.0)
    leaves.add_argument("--seed", type=int, default=1)
    leaves.add_argument("--only", default="", help="name of the one leaf to serve")
    leaves.add_argument("--without", default="", help="name of a leaf to leave out")
    leaves.set_defaults(run=_run_leaves)
    balancer = kinds.add_parser("balancer", help="forwards connections")
    balancer.add_argument("--listen", default="127.0.0.1:7102")
    balancer.add_argument("instances", nargs="+", metavar="IP:PORT")
    balancer.set_defaults(run=_run_balancer)
    return parser


def list_leaves(text: str) -> list[tuple[LeafSpec, HostPort]]:
    """Return the leaves that ``GROUP:SHARDS:REPLICAS:IP:PORT`` describes.

    Raises:
        BadValue: the text isn't of that form.
    """
    parts = text.split(":")
    expected = f"expected GROUP:SHARDS:REPLICAS:IP:PORT, got {text!r}"
    if len(parts) != 5 or not all(part.isdigit() for part in (*parts[1:3], parts[4])):
        raise BadValue(expected)
    group, shards, replicas = parts[0], int(parts[1]), int(parts[2])
    first = parse_host_port(f"{parts[3]}:{parts[4]}")
    found = []
    for shard in range(shards):
        for replica in range(replicas):
            spec = LeafSpec(f"{group}-{shard}-{replica}", group, shard)
            port = first.port + shard * replicas + replica
            found.append((spec, HostPort(first.host, port)))
    return found


def choose_leaves(options: argparse.Namespace) -> list[tuple[LeafSpec, HostPort]]:
    """Return the leaves that this process serves.

    Raises:
        BadValue: ``--only`` or ``--without`` names an unknown leaf.
    """
    found = list_leaves(options.leaves)
    names = {spec.name for spec, _ in found}
    for name in (options.only, options.without):
        if name and name not in names:
            raise BadValue(f"no leaf is called {name!r}")
    return [
        (spec, address)
        for spec, address in found
        if spec.name != options.without and options.only in ("", spec.name)
    ]


async def _run_store(options: argparse.Namespace) -> None:
    server = StoreStandin(Random(1)).make_server()
    await server.run(TcpNetwork(), parse_host_port(options.listen))


async def _run_list(options: argparse.Namespace) -> None:
    listing = ListStandin()
    for text in options.leaves:
        for spec, address in list_leaves(text):
            row = ListedInstance(
                spec.name,
                ROLE_LEAF,
                str(address),
                incarnation=1,
                labels=spec.all_labels(),
            )
            listing.put(row)
    for text in options.instance:
        parts = text.split(",")
        if len(parts) != 3:
            raise BadValue(f"expected NAME,ADDRESS,PEER_ADDRESS, got {text!r}")
        listing.put(ListedInstance(parts[0], ROLE_INSTANCE, parts[1], parts[2]))
    listing.lag = options.lag
    await listing.make_server().run(TcpNetwork(), parse_host_port(options.listen))


async def _run_leaves(options: argparse.Namespace) -> None:
    random = Random(options.seed)
    async with trio.open_nursery() as nursery:
        for spec, address in choose_leaves(options):
            spec = LeafSpec(
                spec.name, spec.group, spec.shard, median=options.median_ms / 1000
            )
            leaf = LeafStandin(spec, random)
            nursery.start_soon(leaf.make_server().run, TcpNetwork(), address)


async def _run_balancer(options: argparse.Namespace) -> None:
    network = TcpNetwork()
    instances = [parse_host_port(text) for text in options.instances]
    balancer = BalancerStandin(network, instances)
    listener = await network.listen(parse_host_port(options.listen))
    async with trio.open_nursery() as nursery:
        await nursery.start(balancer.watch)
        nursery.start_soon(trio.serve_listeners, balancer.forward, [listener])


if __name__ == "__main__":
    main()
