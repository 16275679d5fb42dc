"""``verbena bench``: load a running fleet, or compare policies in a simulation."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import Annotated

import typer

from verbenaplank.console.options import DEFAULT_ENTRY_URL
from verbenaplank.console.options import EntryUrls
from verbenaplank.console.options import Token
from verbenaplank.console.output import console
from verbenaplank.console.output import error_console

DEFAULT_SEED = 20_261_204
PROGRESS_REPORTS = 10

application = typer.Typer(
    help="Measure response time relative to the ideal, and messages.",
    no_args_is_help=True,
)

Seed = Annotated[int, typer.Option(help="Random seed of the trace.")]
JsonPath = Annotated[
    Path | None, typer.Option(help="File to write the report to, as JSON.")
]
WorkloadName = Annotated[
    str, typer.Option(help="Name of the workload: bochas or kayal.")
]


@application.command()
def load(
    entry: EntryUrls = [DEFAULT_ENTRY_URL],  # noqa: B006
    service: Annotated[str, typer.Option(help="Service to call.")] = "",
    team: Annotated[str, typer.Option(help="Team that sends the requests.")] = "",
    token: Token = "",
    workload: WorkloadName = "bochas",
    offered: Annotated[
        float, typer.Option(help="Offered load relative to backend server capacity.")
    ] = 0.7,
    burst_factor: Annotated[
        float, typer.Option(help="Factor on the arrival rate in the middle third.")
    ] = 1.0,
    length_s: Annotated[
        float, typer.Option(help="Length of the trace in seconds.")
    ] = 30.0,
    speed: Annotated[
        list[float], typer.Option(help="Speed of each backend server; repeatable.")
    ] = [1.0],  # noqa: B006
    slots: Annotated[int, typer.Option(help="Slots of each backend server.")] = 8,
    seed: Seed = DEFAULT_SEED,
    json_path: JsonPath = None,
) -> None:
    """Send a seeded trace of jobs to running entries and report the results."""
    from verbenaplank.bench.load import LoadTestSettings
    from verbenaplank.bench.load import run_load

    settings = LoadTestSettings(
        entry_urls=tuple(entry),
        service=service,
        team=team,
        token=token,
        workload=workload,
        load=offered,
        burst_factor=burst_factor,
        length_s=length_s,
        slowness=tuple(1 / each for each in speed),
        slots=slots,
        seed=seed,
    )
    report = run_load(settings, _print_progress)
    console.print(report.to_table())
    if json_path is not None:
        json_path.write_text(f"{report.to_json()}\n", encoding="utf-8")


@application.command()
def compare(
    workload: WorkloadName = "bochas",
    scenario: Annotated[str, typer.Option(help="One scenario; all if empty.")] = "",
    policy: Annotated[str, typer.Option(help="One policy; all if empty.")] = "",
    seed: Seed = DEFAULT_SEED,
    json_path: JsonPath = None,
) -> None:
    """Compare placement policies on one trace in a simulated fleet."""
    from verbenaplank.bench import compare_main

    path = str(json_path) if json_path else ""
    compare_main.main(seed, workload, scenario, policy, path)


@application.command()
def locality(
    offered: Annotated[
        list[float], typer.Option("--load", help="Share of the capacity; repeatable.")
    ] = [0.5, 0.7, 0.85, 1.0],  # noqa: B006
    skew: Annotated[
        list[float],
        typer.Option(help="Share of the short jobs that name one rack; repeatable."),
    ] = [0.0, 0.6],  # noqa: B006
    seeds: Annotated[int, typer.Option(help="Traces for each row.")] = 3,
    length_s: Annotated[
        float, typer.Option(help="Length of a trace in seconds.")
    ] = 15.0,
) -> None:
    """Compare how long tasks wait for the rack that they name, in a simulation."""
    logging.disable(logging.CRITICAL)
    from verbenaplank.bench.locality_comparison import compare_rules
    from verbenaplank.bench.locality_comparison import markdown_table

    typer.echo(markdown_table(compare_rules(offered, skew, seeds, length_s)))


@application.command()
def decision(
    servers: Annotated[
        list[int], typer.Option(help="Servers that the entry knows; repeatable.")
    ] = [11, 66, 160, 3_800],  # noqa: B006
    repeats: Annotated[int, typer.Option(help="Decisions for each row.")] = 2_000,
) -> None:
    """Measure the processor time of one decision whether to hold a task."""
    from verbenaplank.bench.decision_cost import cost_table

    typer.echo(cost_table(servers, repeats))


def _print_progress(done: int, total: int) -> None:
    step = max(1, total // PROGRESS_REPORTS)
    if done % step == 0 or done == total:
        error_console.print(f"{done} of {total} jobs answered")
