"""Steps that run the daemons' reducers on a simulated network and a virtual clock."""

from __future__ import annotations

from behave import given, then, when

from wasabiramp.check import check_all
from wasabiramp.core.events import StopRequested
from wasabiramp.dispatch.load import is_serving
from wasabiramp.membership.owners import find_owner_id
from wasabiramp.model.schedule import Plan, Run


@given("a cell of {nodes:d} daemons, {executors:d} executors and {workers:d} workers")
def start_cell(context, nodes, executors, workers):
    plan = Plan(nodes=nodes, executors=executors, workers=workers)
    context.run = Run(11, plan, task_lease_s=5.0)
    context.run.apply_resources()
    context.run.check_revisions()
    context.requests = []
    context.written = {}


def find_owner(run, target):
    """Return the daemon that owns a target."""
    members = run.world.list_live()[0].reducer.state.membership.current.members
    owner = find_owner_id(f"instance/{target}", members)
    return next(node for node in run.world.list_live() if node.id == owner)


@when("the owner of {target} is killed")
def kill_owner(context, target):
    context.faulty_daemon = find_owner(context.run, target).name
    context.run.world.kill(context.faulty_daemon)


@when("the owner of {target} is frozen for {seconds:g} s")
def freeze_owner(context, target, seconds):
    context.faulty_daemon = find_owner(context.run, target).name
    context.run.world.freeze(context.faulty_daemon, seconds)


@when("the owner of {target} is frozen after its next decision")
def freeze_owner_in_decision(context, target):
    context.faulty_daemon = find_owner(context.run, target).name
    context.run.world.freeze_at_next_decision(context.faulty_daemon)


@when("the owner of {target} reaches only its targets for {seconds:g} s")
def cut_owner(context, target, seconds):
    world = context.run.world
    context.faulty_daemon = find_owner(context.run, target).name
    for other in world.nodes:
        if other != context.faulty_daemon:
            world.add_partition(context.faulty_daemon, other, is_blackhole=True)
    world.add_partition(context.faulty_daemon, "store")
    world.call_later(seconds, world.remove_all_partitions)


@when("{target} cannot be reached for {seconds:g} s")
def cut_target(context, target, seconds):
    world = context.run.world
    for node in world.nodes:
        world.add_partition(node, target)
    world.call_later(seconds, world.remove_all_partitions)


@when("the store is down for {seconds:g} s")
def stop_store(context, seconds):
    faults = context.run.world.store.faults
    faults.down = True
    context.run.world.call_later(seconds, lambda: setattr(faults, "down", False))


@when("the store reads {seconds:g} s stale and its watches stall")
def make_store_stale(context, seconds):
    context.run.world.store.faults.stale_s = seconds
    context.run.world.store.faults.watch_stalled = True


@when("the store is no longer stale and its watches work")
def clear_store_staleness(context):
    context.run.world.store.faults.stale_s = 0.0
    context.run.world.store.faults.watch_stalled = False


@when("some answers are lost and some calls to targets are late for {seconds:g} s")
def lose_answers(context, seconds):
    world = context.run.world
    world.lost_share, world.late_share = 0.3, 0.2
    world.call_later(seconds, lambda: setattr(world, "lost_share", 0.0))
    world.call_later(seconds, lambda: setattr(world, "late_share", 0.0))


@when("every daemon is replaced at once")
def replace_all(context):
    names = [node.name for node in context.run.world.list_live()]
    for name in names:
        context.run.world.kill(name)
    for name in names:
        context.run.restart_node(name)


@when("every daemon is stopped gracefully and replaced, one after the other")
def replace_in_turn(context):
    run = context.run
    for name in list(run.world.nodes):
        node = run.world.nodes[name]
        run.world.apply(node, StopRequested())
        assert run.world.run_while(lambda node=node: node.is_alive, 30.0)
        run.restart_node(name)
        run.world.run_for(4.0)


@when("callers send {count:d} {kind} requests over {seconds:g} s")
def send_requests(context, count, kind, seconds):
    run = context.run
    for index in range(count):
        at = seconds * index / count

        def send():
            # Like the platform's load balancer, send only to daemons whose readiness check passes.
            ready = [
                node
                for node in run.world.list_live()
                if node.is_ready and is_serving(node.reducer.context)
            ]
            node = run.random.choice(ready) if ready else None
            context.requests.append(run.send_request(kind == "idempotent", node=node))

        run.world.call_later(at, send)


@when('key "{key}" is sent through {count:d} daemons at once')
def send_key(context, key, count):
    for node in context.run.world.list_live()[:count]:
        context.requests.append(context.run.send_request(False, key, node))


@when("{count:d} {kind} jobs of {tasks:d} tasks that run {seconds:g} s are submitted")
def submit_jobs(context, count, kind, tasks, seconds):
    spec = {
        "tasks": tasks,
        "cores": 2,
        "idempotent": kind != "non-idempotent",
        "gang": kind == "all-or-nothing",
        "payload": {"run_s": seconds},
    }
    context.jobs = [context.run.submit_job(dict(spec)) for _ in range(count)]


@when("the jobs are acknowledged")
def wait_for_acknowledgement(context):
    answers = context.run.world.answers
    is_done = context.run.world.run_while(
        lambda: any(name not in answers for name in context.jobs), 10.0
    )
    assert is_done, "the jobs were not acknowledged within 10 s"


@when('the policy "{name}" gets priority {priority:d}')
def write_policy(context, name, priority):
    request_id = context.run.write_resource("Policy", name, {"priority": priority})
    context.written[request_id] = (name, priority)


@when('two operators give the policy "{name}" priorities {one:d} and {other:d} at once')
def write_policy_concurrently(context, name, one, other):
    write_policy(context, name, one)
    write_policy(context, name, other)


@when("{target} begins to leave")
def begin_leaving(context, target):
    context.run.world.set_leaving(target)


@when("a daemon starts")
def start_daemon(context):
    context.run.world.start_node("entry-new", **context.run.overrides)


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    context.run.world.run_for(seconds)


@then("no promise is broken")
def check_promises(context):
    breaches = context.run.breaches + check_all(context.run.collect_evidence())
    assert not breaches, breaches


@then("every request ran")
def check_all_ran(context):
    answers = context.run.world.answers
    outcomes = [answers[name][1].outcome if name in answers else None for name in context.requests]
    assert outcomes and set(outcomes) == {"ran"}, outcomes


@then("exactly one of the requests ran")
def check_one_ran(context):
    bodies = [item.body for item in context.run.collect_evidence().calls]
    assert sum(bodies.count(name) for name in context.requests) == 1, bodies


@then("at most one of the requests ran")
def check_at_most_one(context):
    bodies = [item.body for item in context.run.collect_evidence().calls]
    assert sum(bodies.count(name) for name in context.requests) <= 1, bodies


@then("every job has succeeded within {seconds:g} s")
def check_jobs_succeeded(context, seconds):
    run = context.run

    def is_unfinished():
        found_jobs = [run.find_job(run.jobs[name][0]) for name in context.jobs]
        return any(job is None or job.phase != "Succeeded" for job in found_jobs)

    assert run.world.run_while(is_unfinished, seconds), run.collect_evidence().jobs


@then("every task of the jobs has started within {seconds:g} s")
def check_tasks_started(context, seconds):
    run = context.run
    expected_tasks = {
        f"{run.jobs[name][0].team}/{name}/{index}"
        for name in context.jobs
        for index in range(run.jobs[name][0].tasks)
    }

    def is_unfinished():
        return bool(expected_tasks - {item.task for item in run.collect_evidence().tasks})

    assert run.world.run_while(is_unfinished, seconds)


@then("every executor is served by another daemon within {seconds:g} s")
def check_takeover(context, seconds):
    run = context.run

    def is_unfinished():
        ready_executors = set()
        for node in run.world.list_live():
            if node.name != context.faulty_daemon:
                executors = node.reducer.state.dispatch.executors
                ready_executors.update(
                    name for name, item in executors.items() if item.is_owned and item.is_ready
                )
        return ready_executors != set(run.world.executors)

    assert run.world.run_while(is_unfinished, seconds)


def find_priorities(context, name):
    """Return the priority that each live daemon, unless frozen, uses for a policy."""
    now = context.run.world.now
    live = [node for node in context.run.world.list_live() if now >= node.frozen_until]
    return [node.reducer.state.intent.policies[name].priority for node in live]


@then('the policy "{name}" has priority {priority:d} on all daemons within {seconds:g} s')
def check_policy(context, name, priority, seconds):
    is_done = context.run.world.run_while(
        lambda: set(find_priorities(context, name)) != {priority}, seconds
    )
    assert is_done, find_priorities(context, name)


@then('the policy "{name}" is the same on all daemons within {seconds:g} s')
def check_policy_agrees(context, name, seconds):
    is_done = context.run.world.run_while(
        lambda: len(set(find_priorities(context, name))) != 1, seconds
    )
    assert is_done, find_priorities(context, name)
