"""``python -m walkcart.bench``: demo, run, routed, soak, replay and slopes."""

from __future__ import annotations

import argparse
import sys


def main() -> int:
    """Run the selected job of the bench; return its exit code."""
    parser = argparse.ArgumentParser(prog="python -m walkcart.bench")
    jobs = parser.add_subparsers(dest="job", required=True)
    jobs.add_parser("demo", help="the small estate of `make run`")
    _add_run(jobs.add_parser("run", help="experiments over the stand-ins"))
    _add_routed(jobs.add_parser("routed", help="decisions on routed requests"))
    _add_soak(jobs.add_parser("soak", help="long randomised runs"))
    replay = jobs.add_parser("replay", help="recorded traces against their outcomes")
    replay.add_argument("traces", nargs="+", help="trace files")
    sun = jobs.add_parser("sun", help="the busy region moves")
    sun.add_argument("--out", default="out", help="folder of the plot")
    jobs.add_parser("pages", help="write the pages that are made from the code")
    slopes = jobs.add_parser("slopes", help="costs over several sizes")
    slopes.add_argument("--out", default="out/slopes.json")
    slopes.add_argument("--only", nargs="*", help="names of the measurements")
    return _dispatch(parser.parse_args())


def _add_run(run: argparse.ArgumentParser) -> None:
    run.add_argument("scenario", nargs="+", help="names, or `all`")
    run.add_argument("--policy", nargs="+", default=["walkcart", "random"])
    run.add_argument("--shape", default="swapline")
    run.add_argument("--seeds", type=int, default=1)
    run.add_argument("--workers", type=int, default=4)
    run.add_argument("--out", default="out", help="folder of the report")


def _add_routed(routed: argparse.ArgumentParser) -> None:
    routed.add_argument("scenario", nargs="+", help="names, or `all`")
    routed.add_argument("--policy", nargs="+", default=["walkcart", "random"])
    routed.add_argument("--seeds", type=int, default=1)
    routed.add_argument("--workers", type=int, default=4)
    routed.add_argument("--out", default="", help="file for all figures, as JSON")


def _add_soak(soak: argparse.ArgumentParser) -> None:
    soak.add_argument("--seed", type=int, default=1)
    soak.add_argument("--seeds", type=int, default=1, help="so many from --seed on")
    soak.add_argument("--minutes", type=float, default=2.0, help="of the run's time")
    soak.add_argument(
        "--processes",
        action="store_true",
        help="over real processes, on the real clock",
    )


def _dispatch(options: argparse.Namespace) -> int:
    # Imported late, so that the demo doesn't import the modules of other jobs.
    match options.job:
        case "demo":
            from walkcart.bench.demo import run_demo

            return run_demo()
        case "run":
            from walkcart.bench.report import run_and_report

            return run_and_report(options)
        case "routed":
            from walkcart.bench.routed.report import run_and_print

            return run_and_print(options)
        case "soak" if options.processes:
            from walkcart.bench.soak_processes import run_process_soak

            return run_process_soak(options.seed, options.minutes)
        case "soak":
            from walkcart.bench.soak import run_soaks

            return run_soaks(options.seed, options.seeds, options.minutes)
        case "replay":
            from walkcart.bench.replay import replay_files

            return replay_files(options.traces)
        case "sun":
            from walkcart.bench.sun import run_sun

            return run_sun(options.out)
        case "pages":
            from walkcart.bench.pages import write_pages

            return write_pages()
        case _:
            from walkcart.bench.slopes import run_slopes

            return run_slopes(options.out, options.only)


if __name__ == "__main__":
    sys.exit(main())
