"""Steps that run daemons and stand-ins as processes."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import signal

from behave import given, then, when

from examples.processes import ProcessCell, wait_until

JOB_TIMEOUT_S = 40.0
LOAD_THREADS = 4


@given("{daemons:d} daemons, {executors:d} executors and {workers:d} workers as processes")
def start_processes(context, daemons, executors, workers):
    context.processes = cell = ProcessCell(executors, workers)
    for index in range(daemons):
        cell.start_daemon(f"entry-{index + 1}")
    cell.wait_ready(0)
    context.targets = cell.apply_resources()
    cell.wait_ready(context.targets)
    context.round = 0


@then("a request, a job and an all-or-nothing job run through each daemon")
def run_work_through_each_daemon(context):
    cell = context.processes
    context.round += 1
    names = []
    for daemon in cell.list_daemons():
        body = f"request-{context.round}-{daemon}"
        assert cell.send_request(daemon, body) == ("ran", f"done:{body}")
        for kind, spec in (("job", {"tasks": 4}), ("gang", {"tasks": 4, "gang": True})):
            name = f"{kind}-{context.round}-{daemon}"
            assert cell.submit_job(daemon, name, spec) == 202
            names.append(name)
    daemon = cell.list_daemons()[-1]
    for name in names:
        wait_until(lambda name=name: cell.get_job_phase(daemon, name) == "Succeeded", JOB_TIMEOUT_S)


@then("only one of two requests with the same key runs")
def send_key_twice(context):
    cell = context.processes
    first, second = cell.list_daemons()[:2]
    assert cell.send_request(first, "coat-1", key="coat") == ("ran", "done:coat-1")
    assert cell.send_request(second, "coat-2", key="coat") == ("ran", "done:coat-1")
    bodies = [
        entry["body"]
        for name in cell.addresses
        if name.startswith("executor")
        for entry in cell.get_log(name)["log"]
    ]
    assert bodies.count("coat-1") == 1 and "coat-2" not in bodies


@when("a daemon is killed with SIGKILL and started again")
def kill_and_start(context):
    cell = context.processes
    cell.signal("entry-2", signal.SIGKILL)
    cell.wait_exit("entry-2")
    cell.wait_ready(context.targets)
    cell.start_daemon("entry-2")
    cell.wait_ready(context.targets)


def send_load(cell, daemons, count):
    """Send `count` requests to the daemons in turn from several threads and return the verdicts."""
    with ThreadPoolExecutor(LOAD_THREADS) as pool:
        futures = [
            pool.submit(cell.send_request, daemons[index % len(daemons)], f"load-{index}")
            for index in range(count)
        ]
        return [future.result()[0] for future in futures]


@when("a daemon is frozen with SIGSTOP for {seconds:g} s under load")
def freeze_daemon(context, seconds):
    cell = context.processes
    cell.signal("entry-3", signal.SIGSTOP)
    others = [name for name in cell.list_daemons() if name != "entry-3"]
    send_load(cell, others, int(20 * seconds))
    cell.signal("entry-3", signal.SIGCONT)
    cell.wait_ready(context.targets)


@when("a daemon is stopped with SIGTERM under load")
def stop_daemon(context):
    cell = context.processes
    others = [name for name in cell.list_daemons() if name != "entry-1"]
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(send_load, cell, ["entry-1"], 4)
        wait_until(lambda: cell.status("entry-1")["gauges"]["requests_open"] >= 0, 5.0)
        cell.signal("entry-1", signal.SIGTERM)
        context.verdicts = send_load(cell, others, 60) + running.result()
    context.exit_code = cell.wait_exit("entry-1")


@then("it exited with code 0 and every request ran")
def check_graceful_stop(context):
    assert context.exit_code == 0, context.exit_code
    assert set(context.verdicts) == {"ran"}, context.verdicts


@then("no target exceeded its capacity")
def check_peaks(context):
    cell = context.processes
    for name in cell.addresses:
        if name.startswith("executor"):
            assert cell.get_log(name)["peak"] <= 8, name
        elif name.startswith("worker"):
            assert cell.get_log(name)["peak"][0] <= 64, name
