"""The `wasabiramp` command: daemon, demo, and commands for operators and callers."""

from __future__ import annotations

from pathlib import Path
import sys
from typing import Annotated

import typer
import uvloop

from wasabiramp.bench.commands import bench
from wasabiramp.cli import checks, operate
from wasabiramp.daemon import async_run_daemon
from wasabiramp.logs import set_up_logs
from wasabiramp.report.commands import report
from wasabiramp.report.explain import explain
from wasabiramp.settings.schema import load_settings

EXIT_SETTINGS = 2

cli = typer.Typer(
    help="wasabiramp schedules services, batch runs and all-or-nothing jobs in one cell.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
operate.add_commands(cli)
checks.add_commands(cli)
cli.add_typer(bench, name="bench")
cli.add_typer(report, name="report")
cli.command(name="explain")(explain)


@cli.command()
def daemon(
    settings: Annotated[Path, typer.Option(help="YAML file with the daemon's settings.")],
) -> None:
    """Run a daemon until SIGTERM."""
    loaded = load_settings(settings)
    if loaded.is_error():
        print(f"wasabiramp: {loaded.error}", file=sys.stderr)
        raise typer.Exit(EXIT_SETTINGS)
    set_up_logs()
    if not uvloop.run(async_run_daemon(loaded.ok)):
        raise typer.Exit(1)


@cli.command()
def policies() -> None:
    """List the mechanisms that a daemon on the platform can run without (`--without NAME`)."""
    # Imported here, as these modules register their mechanisms on import.
    import wasabiramp.entry.daemon  # noqa: F401
    from wasabiramp.policy.switches import SWITCHES

    rows = [["NAME", "MECHANISM"]]
    rows += [[name, SWITCHES[name].description] for name in sorted(SWITCHES)]
    value = [{"name": row[0], "mechanism": row[1]} for row in rows[1:]]
    operate.print_value(value, operate.Output.TABLE, rows)


@cli.command()
def demo(
    serve: Annotated[bool, typer.Option(help="Keep running and print the address.")] = False,
    port: Annotated[int, typer.Option(help="Port of the API; 0 picks a free one.")] = 0,
) -> None:
    """Run a cell in this process and send it each kind of work."""
    from wasabiramp.cli.demo import async_run_demo

    set_up_logs()
    ok = uvloop.run(async_run_demo(serve, port))
    raise typer.Exit(0 if ok else 1)


def main() -> None:
    """Run the command line."""
    cli()
