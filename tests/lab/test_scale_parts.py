"""The scale run's arithmetic: lines, predictions, budgets, figures of roles and of starts, resumed stages."""

from __future__ import annotations

import signal
import subprocess
import sys
from itertools import pairwise
from pathlib import Path

import msgspec
import pytest

from ladderhub.lab.process import module
from ladderhub.lab.scale.budgets import BudgetVerdict, all_hold, judge, last_line
from ladderhub.lab.scale.changes import (
    change_figures, change_moments, changed_settings, times_in_force,
)  # fmt: skip
from ladderhub.lab.scale.churn import draw_troubles
from ladderhub.lab.scale.load import Sent, SentJob, fill_times
from ladderhub.lab.scale.measure import (
    Counters,
    Reading,
    Traffic,
    counted_by_directory,
    parse_counters,
    parse_gauge,
)
from ladderhub.lab.scale.plan import (
    DIMENSIONS, Budget, Control, Overrides, Plan, PlanError, ScaleError, at_shares, checked, load_plan,
    overridden, slope_sizes,
)  # fmt: skip
from ladderhub.lab.scale.report import ChangeFigures, RoleFigures, RunFigures, collect_figures
from ladderhub.lab.scale.roles import client_doors, figures_of_process, mean_of_role
from ladderhub.lab.scale.run import RunPlan, running_at
from ladderhub.lab.scale.settings import elector_count, host_plans, load_plans, node_plans, teams_settings
from ladderhub.lab.scale.slopes import beyond, compare, fit, is_straight, predict, slope
from ladderhub.lab.scale.stages import (
    RunKeeper, fit_slopes, full_run, held_against, read_prediction, slope_runs, verdicts, write_prediction,
)  # fmt: skip
from ladderhub.lab.scale.hollow_nodes import HostResult
from ladderhub.lab.scale.starts import answers_in, starts_by_class

S = 1_000_000_000


# --- lines ----------------------------------------------------------------------------------------------


def test_a_line_through_points_that_lie_on_one_is_that_line() -> None:
    line = fit([(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])
    assert (line.per_unit, line.intercept) == pytest.approx((2.0, 3.0))
    assert line.residual == pytest.approx(0.0, abs=1e-12)
    assert line.at(10.0) == pytest.approx(23.0)


def test_a_line_is_the_one_of_least_squares() -> None:
    # By hand: the means are 2 and 10/3, the distances 1/6, -1/3 and 1/6.
    line = fit([(1.0, 0.0), (2.0, 3.0), (3.0, 7.0)])
    assert (line.per_unit, line.intercept) == pytest.approx((3.5, -11 / 3))
    assert line.residual == pytest.approx((1 / 18) ** 0.5)


def test_points_of_one_size_have_a_level_line_and_none_have_no_line() -> None:
    assert fit([(2.0, 1.0), (2.0, 3.0)]).per_unit == 0.0
    with pytest.raises(ValueError, match="points"):
        fit([])


@pytest.mark.parametrize(
    ("values", "straight"),
    [
        ((1.0, 2.0, 4.0), True),
        ((1.0, 4.0, 16.0), False),  # grows with the square
        ((0.0, 0.0, 0.0), True),
        ((5.0, 5.2, 4.9), True),  # does not depend on the dimension
        ((0.0, 0.0, 8.0), False),  # begins late
        ((4.0, 8.0, 8.0), False),  # levels off
    ],
)
def test_what_is_not_straight_is_said_so(values: tuple[float, ...], straight: bool) -> None:
    points = list(zip((1.0, 2.0, 4.0), values, strict=True))
    assert is_straight(points, fit(points), residual_most=0.05, flat=0.1) is straight


def test_a_prediction_adds_what_each_dimension_adds() -> None:
    # A figure 1 + 2x + 3y, held at x = 4, y = 5.
    along_x = slope("f", "x", [(x, 1 + 2 * x + 15) for x in (2.0, 4.0, 8.0)], 0.05, 0.1)
    along_y = slope("f", "y", [(y, 1 + 8 + 3 * y) for y in (2.0, 5.0, 9.0)], 0.05, 0.1)
    predicted = predict([along_x, along_y], {"x": 4.0, "y": 5.0}, {"x": 16.0, "y": 20.0})
    assert predicted["f"] == pytest.approx(1 + 32 + 60)
    falling = slope("g", "x", [(2.0, 3.0), (4.0, 2.0), (8.0, 0.0)], 0.05, 0.1)
    assert predict([falling], {"x": 4.0}, {"x": 100.0}) == {"g": 0.0}


def test_errors_are_told_for_what_was_both_predicted_and_measured() -> None:
    errors = compare({"a": 3.0, "b": 1.0, "c": 1.0, "d": 0.0}, {"a": 2.0, "b": 0.0, "d": 0.0, "e": 9.0})
    assert [(each.figure, each.error) for each in errors] == [("a", 0.5), ("b", None), ("d", 0.0)]
    assert [each.figure for each in beyond(errors, 0.25)] == ["a", "b"]


# --- budgets --------------------------------------------------------------------------------------------


def test_what_was_not_measured_never_holds_and_the_last_line_names_it() -> None:
    budgets = [Budget("a", 1.0), Budget("b", 2.0), Budget("c", 3.0)]
    found = judge(budgets, {"a": 1.0, "b": 2.5})
    assert [each.holds for each in found] == [True, False, False]
    assert last_line(found) == "over budget: b 2.5 > 2; not measured: c"
    assert not all_hold(found)


def test_all_budgets_hold_only_where_there_are_some() -> None:
    good = judge([Budget("a", 1.0)], {"a": 0.5})
    assert all_hold(good) and last_line(good) == "all 1 budgets hold"
    assert not all_hold([]) and "none holds" in last_line([])
    assert not all_hold([BudgetVerdict("a", 1.0, None, False)])


# --- the plan -------------------------------------------------------------------------------------------


def test_the_plan_that_comes_with_the_program_can_be_used_and_its_budgets_name_figures() -> None:
    plan = load_plan()
    assert {budget.figure.split(".")[0] for budget in plan.budgets} == {
        "scheduler", "elector", "starts", "change_in_force_s"
    }  # fmt: skip
    assert plan.played().changes_per_h == plan.size.changes_per_h * plan.churn.speedup


def test_options_override_the_plan() -> None:
    plan = load_plan()
    changed = overridden(plan, Overrides(schedulers=2, hollow_schedulers=20, nodes=60, seconds=3.0, seed=9))
    assert (changed.size.schedulers, changed.real_schedulers, changed.size.nodes) == (22, 2, 60)
    assert (changed.playing.measure_s, changed.playing.full_measure_s, changed.seed) == (3.0, 3.0, 9)
    assert changed.size.teams == plan.size.teams
    only_real = overridden(plan, Overrides(schedulers=plan.real_schedulers + 2))
    assert only_real.size.schedulers == plan.size.schedulers + 2, "as many hollow ones as were planned"


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("{}", "missing required field"),
        ("import 'no-such-file'", "no-such-file"),
        ("(import 'PLAN') + { sizes: 3 }", "unknown field"),
        ("(import 'PLAN') + { real_schedulers: 0 }", "real_schedulers"),
        ("(import 'PLAN') + { size+: { nodes: 0 } }", "size.nodes"),
        ("(import 'PLAN') + { size+: { changes_per_h: -1 } }", "size.changes_per_h"),
        ("(import 'PLAN') + { load+: { classes+: { web+: { share: 2 } } } }", "load.classes"),
        ("(import 'PLAN') + { settings+: { queues: {} } }", "load.classes"),
        ("(import 'PLAN') + { slopes+: { shares: [0.5] } }", "slopes"),
        ("(import 'PLAN') + { churn+: { speedup: 0 } }", "speedup"),
    ],
)
def test_a_plan_that_can_not_be_used_is_refused_with_the_field(tmp_path: Path, text: str, field: str) -> None:
    from ladderhub.lab.scale.plan import default_plan_file

    file = tmp_path / "plan.jsonnet"
    file.write_text(text.replace("PLAN", str(default_plan_file())))
    with pytest.raises(PlanError, match=field):
        load_plan(file)


def test_each_dimension_is_moved_alone() -> None:
    plan = load_plan()
    held = at_shares(plan, dict.fromkeys(DIMENSIONS, plan.slopes.held_at))
    for dimension, points in slope_sizes(plan).items():
        assert [share for share, _ in points] == plan.slopes.shares
        for share, size in points:
            moved = {name for name in DIMENSIONS if size.value(name) != held.value(name)}
            assert moved == (set() if share == plan.slopes.held_at else {dimension})
    names = [run.name for run in slope_runs(plan)]
    assert len(names) == len(set(names)) == 1 + 2 * len(DIMENSIONS), "the held size is played once"
    assert not any(run.lose_a_rack for run in slope_runs(plan)) and full_run(plan).lose_a_rack


def test_there_are_never_fewer_schedulers_than_real_ones() -> None:
    plan = load_plan()
    few = overridden(plan, Overrides(hollow_schedulers=0))
    assert {size.schedulers for _, size in slope_sizes(few)["schedulers"]} == {few.real_schedulers}
    none = overridden(plan, Overrides(changes=0.0))
    assert "changes_per_h" not in slope_sizes(none)


# --- what processes are told ------------------------------------------------------------------------------


def test_electors_are_an_odd_number_of_the_real_schedulers() -> None:
    assert [elector_count(5, real) for real in (1, 2, 3, 4, 5, 7)] == [1, 1, 3, 3, 5, 5]


def test_every_node_is_in_one_process_and_each_team_has_its_quota() -> None:
    plan = load_plan()
    nodes = node_plans(plan, plan.size, seed=3)
    assert nodes == node_plans(plan, plan.size, seed=3) and len({node.name for node in nodes}) == 1100
    hosts = host_plans(plan, nodes, ("127.0.0.1", 1))
    assert sorted(node.name for host in hosts for node in host.nodes) == [node.name for node in nodes]
    assert len({node.zone for node in nodes}) == 4
    teams = teams_settings(plan, plan.size, nodes)
    assert len(teams) == plan.size.teams
    assert sum(each["quota_per_s"] for each in teams.values()) == pytest.approx(
        plan.quota.rate_times * plan.size.starts_per_s
    )


def test_the_load_keeps_as_many_jobs_running_as_are_wanted() -> None:
    plan = load_plan()
    loads = load_plans(plan, plan.size, [("127.0.0.1", 1)], seed=3)
    assert sum(each.rate for each in loads) == pytest.approx(plan.size.starts_per_s)
    assert {each.rate * each.life_s * len(loads) for each in loads} == {float(plan.size.running)}
    assert len({each.seed for each in loads}) == len(loads)
    # Of what arrives in the filling a part has ended at its end; as many must be there as at any later time.
    rate, life_s, fill_s, steps = 10.0, 8.0, 5.0, 100_000
    there, step = 0.0, fill_s / steps
    for _ in range(steps):
        there += step * (rate * fill_times(fill_s, life_s) - there / life_s)
    assert there == pytest.approx(rate * life_s, rel=1e-3)


def test_troubles_follow_the_seed_and_the_sped_up_rates_and_hit_no_node_twice() -> None:
    plan = load_plan()
    racks = {f"n{at}": f"rack-{at // 24}" for at in range(1100)}
    drawn = draw_troubles(plan, list(racks), racks, 3600.0, 5, lose_a_rack=True)
    assert drawn == draw_troubles(plan, list(racks), racks, 3600.0, 5, lose_a_rack=True)
    assert len({trouble.node for trouble in drawn}) == len(drawn)
    at_half = [trouble for trouble in drawn if trouble.at_s == 1800.0]
    assert len({racks[trouble.node] for trouble in at_half}) == 1 and len(at_half) in (20, 24)
    # 108 a day, 20 times as fast, for an hour: 90 on average, and a Poisson number of them.
    assert 50 < len(drawn) - len(at_half) < 130
    assert not draw_troubles(plan, list(racks), racks, 0.0, 5, lose_a_rack=False)


# --- figures --------------------------------------------------------------------------------------------

PAGE = """\
# HELP ladderhub_nodes Nodes listed
# TYPE ladderhub_nodes gauge
ladderhub_nodes 60.0
# HELP ladderhub_processor_seconds_total Processor time
# TYPE ladderhub_processor_seconds_total counter
ladderhub_processor_seconds_total{cause="jobs"} 2.5
ladderhub_processor_seconds_total{cause="lists"} 0.5
# HELP ladderhub_bytes_total Bytes
# TYPE ladderhub_bytes_total counter
ladderhub_bytes_total{direction="in",kind="lists"} 1000.0
ladderhub_bytes_total{direction="out",kind="lists"} 10.0
"""


def test_counters_are_read_off_the_metrics_page() -> None:
    counted = parse_counters(PAGE)
    assert counted == Counters({"jobs": 2.5, "lists": 0.5}, {"lists": Traffic(1000.0, 10.0)}, {})
    assert parse_gauge(PAGE, "ladderhub_nodes") == 60.0 and parse_gauge(PAGE, "ladderhub_members") is None
    assert parse_counters("ladderhub_nodes 60.0\n") is None, "a page without them was not measured"


def test_a_directorys_statistics_are_read_with_its_work_in_steps(tmp_path: Path) -> None:
    row = {"bytes_in": 5, "bytes_out": 6, "messages_in": 1, "messages_out": 2}
    work = {"changes": 3, "rounds": 4, "lists": 5, "rows_sent": 6, "log_entries_walked": 7}
    file = tmp_path / "stats.json"
    file.write_bytes(
        msgspec.json.encode({"processor_seconds": 0.5, "traffic": {"node": row}, "rows": 9} | work)
    )
    counted = counted_by_directory(file)
    assert counted.bytes == {"node": Traffic(5, 6)} and counted.messages == {"node": Traffic(1, 2)}
    assert counted.work == work and counted.processor_s == {"whole": 0.5}
    before = Counters({}, {}, {}, {"log_entries_walked": 2.0})
    rates = figures_of_process(reading(0.0, 0.0, before), reading(2.0, 0.0, counted), Control([], []))
    assert rates.work_per_s["log_entries_walked"] == 2.5


def reading(at_s: float, processor_s: float, counted: Counters | None = None) -> Reading:
    return Reading(at_s, processor_s, at_s / 5, 50_000_000, 12, counted)


def test_a_roles_figures_are_rates_over_the_span_and_control_needs_every_summand() -> None:
    lists = {"directory": Traffic(300.0, 20.0), "ping": Traffic(10.0, 10.0), "client": Traffic(9e9, 9e9)}
    before = Counters({"jobs": 1.0, "lists": 1.0}, {"directory": Traffic(100.0, 0.0)}, {})
    after = Counters({"jobs": 5.0, "lists": 2.0}, lists, {})
    readings = reading(10.0, 4.0, before), reading(20.0, 9.0, after)
    spent = figures_of_process(*readings, Control(["lists"], ["client"]))
    assert (spent.cores, spent.memory_mb, spent.descriptors) == (0.5, 50.0, 12)
    assert spent.memory_growth_mb_per_s == 0.0
    assert spent.cores_by_cause == {"jobs": 0.4, "lists": 0.1}
    assert (spent.control.cores, spent.control.bytes_per_s) == pytest.approx((0.1, 24.0))
    assert figures_of_process(*readings, Control(["lists", "peers"], [])).control.cores is None
    uncounted = figures_of_process(reading(10.0, 4.0), reading(20.0, 9.0), Control([], []), share=10)
    assert (uncounted.count, uncounted.memory_mb, uncounted.cores) == (10, 5.0, 0.05)
    assert uncounted.waited == pytest.approx(0.2), "of the process, not of a member"
    assert (uncounted.control.cores, uncounted.control.bytes_per_s) == (None, None)


def test_a_role_is_the_mean_of_its_processes_and_the_most_of_each_figure() -> None:
    small, large = RoleFigures(1, 40.0, 0.1, 10.0), RoleFigures(3, 80.0, 0.5, 30.0)
    small.bytes_per_s, large.bytes_per_s = {"lists": Traffic(1.0, 2.0)}, {"lists": Traffic(5.0, None)}
    role = mean_of_role([small, large])
    assert (role.count, role.memory_mb, role.descriptors) == (4, 70.0, 25.0)
    assert role.cores == pytest.approx(0.4)
    assert role.bytes_per_s == {"lists": Traffic(4.0, None)}, "a mean of some is none of all"
    assert (role.most["memory_mb"], role.most["bytes_per_s.lists.out"]) == (80.0, 2.0)


def test_the_clients_door_is_a_part_of_its_scheduler() -> None:
    scheduler = RoleFigures(1, 40.0, 0.1, 99.0, {}, {"client": Traffic(5.0, 6.0), "node": Traffic(1.0, 1.0)})
    door = client_doors([scheduler], [7.0], "client")
    assert (door.count, door.memory_mb, door.cores, door.descriptors) == (1, None, None, 7.0)
    assert door.bytes_per_s == {"client": Traffic(5.0, 6.0)}


def test_starts_are_told_by_class_and_what_never_ran_by_its_answer(tmp_path: Path) -> None:
    rows = [
        {"event": "taken", "job": "4.s", "queue": "web"},
        {"event": "answer", "job": "4.s", "answer": "refused", "reason": "no room"},
        {"event": "answer", "job": "5.s", "answer": "failed", "reason": ""},
    ]
    log = tmp_path / "log"
    log.write_bytes(b"\n".join(msgspec.json.encode(row) for row in rows) + b'\n{"event": "answer", cut\n')
    answers = answers_in([log])
    assert answers == {"4.s": "refused", "5.s": "failed"}
    jobs = {f"{at}.s": SentJob("web", at * S, at * S) for at in range(8)}
    jobs["9.s"] = SentJob("urgent", 3 * S, 3 * S)
    ran = {f"{at}.s": at * S + 250_000_000 for at in range(4)} | {"9.s": 4 * S}
    sent = [Sent(jobs, [("web", 2 * S), ("urgent", 90 * S)])]
    found = starts_by_class(["urgent", "web", "batch"], sent, ran, answers, 1 * S, 7 * S)
    web = found["web"]
    assert (web.count, web.refused, web.failed, web.unsubmitted, web.unanswered) == (7, 1, 1, 1, 1)
    assert web.p50_ms == pytest.approx(250, rel=0.01) and web.missed_share == pytest.approx(4 / 7)
    assert found["urgent"].p99_ms == pytest.approx(1000, rel=0.01) and found["urgent"].missed_share == 0.0
    assert (found["batch"].count, found["batch"].p99_ms) == (0, None)


def test_what_runs_at_a_moment_is_what_began_and_has_not_ended() -> None:
    seen = [HostResult({"a": 1, "b": 2, "c": 9}, {"a": 3, "x": 1}), HostResult({"d": 5}, {"d": 6})]
    assert [running_at(seen, moment) for moment in (0, 2, 3, 5, 6, 9)] == [0, 2, 1, 2, 1, 2]


def test_changes_come_evenly_by_the_seed_and_each_differs() -> None:
    moments = change_moments(600.0, 60.0, seed=3)
    assert moments == change_moments(600.0, 60.0, seed=3) and len(moments) == 10
    assert all(later - earlier == pytest.approx(6.0) for earlier, later in pairwise(moments))
    assert change_moments(0.0, 60.0, seed=3) == [] and len(change_moments(1.0, 60.0, seed=3)) == 1
    plan = load_plan()
    settings = {"tenants": teams_settings(plan, plan.size, node_plans(plan, plan.size, 1)), "server": "s"}
    bodies = {msgspec.json.encode(changed_settings(settings, number)) for number in range(500)}
    assert len(bodies) == 500 and msgspec.json.encode(settings) not in bodies


def revision_row(what: str, body: str, second: int, number: int = 0) -> bytes:
    at = f"2026-01-01T00:00:{second:02d}.250000Z"
    row = {"event": "revision", "what": what, "body": body, "number": number, "timestamp": at}
    return msgspec.json.encode(row) + b"\n"


def test_a_change_is_in_force_when_the_last_scheduler_acts_by_it_or_a_later_one(tmp_path: Path) -> None:
    one, two = tmp_path / "one.log", tmp_path / "two.log"
    one.write_bytes(
        revision_row("proposed", "a", 1) + revision_row("active", "a", 2, 1)
        + revision_row("proposed", "b", 3) + revision_row("active", "b", 4, 2)
        + revision_row("proposed", "c", 8) + b'{"event": "revision"'
    )  # fmt: skip
    two.write_bytes(revision_row("active", "b", 9, 2) + revision_row("active", "d", 20, 3))
    times = times_in_force([one, two])
    assert times == [8.0, 6.0, None], "the first came into force at the second scheduler with the second"
    figures = change_figures(4, times)
    assert (figures.count, figures.most, figures.missed_share) == (2, 8.0, 0.5)
    assert change_figures(0, []) == ChangeFigures()


# --- stages ---------------------------------------------------------------------------------------------


class World:
    """Plays runs by a formula in place of processes, and counts them."""

    def __init__(self, square: float = 0.0) -> None:
        self.square, self.played = square, 0

    def play(self, plan: Plan, run: RunPlan, folder: Path) -> RunFigures:
        self.played += 1
        size = run.size
        cores = 0.01 + 0.0001 * size.nodes + 0.001 * size.starts_per_s + self.square * size.nodes**2
        role = RoleFigures(7, 50.0 + 0.01 * size.running, cores, 100.0)
        role.most = {"control.cores": cores}
        return RunFigures(
            run.name, size, run.seconds, run.seed, {"scheduler": role}, {}, ChangeFigures(), size.running
        )


def test_a_straight_world_is_predicted_and_its_budgets_are_judged(tmp_path: Path) -> None:
    plan, world = load_plan(), World()
    keeper = RunKeeper(plan, tmp_path, world.play)
    slopes = fit_slopes(plan, [keeper.take(run) for run in slope_runs(plan)])
    assert all(each.straight for each in slopes)
    file = tmp_path / "prediction.json"
    written = write_prediction(plan, slopes, file)
    assert read_prediction(file) == written
    full = keeper.take(full_run(plan))
    errors = held_against(written, full)
    assert {each.figure for each in errors} >= {"scheduler.cores", "scheduler.memory_mb", "running"}
    assert all(each.error == pytest.approx(0.0, abs=1e-9) for each in errors)
    told = {each.figure: each for each in verdicts(plan, full)}
    assert told["scheduler.most.control.cores"].measured == pytest.approx(0.01 + 0.11 + 0.35)
    assert told["starts.urgent.p99_ms"].measured is None and not told["starts.urgent.p99_ms"].holds


def test_work_that_grows_with_the_square_is_found_and_mispredicted(tmp_path: Path) -> None:
    plan = load_plan()
    keeper = RunKeeper(plan, tmp_path, World(square=1e-5).play)
    slopes = fit_slopes(plan, [keeper.take(run) for run in slope_runs(plan)])
    bent = {(each.figure, each.dimension) for each in slopes if not each.straight}
    assert ("scheduler.cores", "nodes") in bent and not any(dimension == "teams" for _, dimension in bent)
    written = write_prediction(plan, slopes, tmp_path / "prediction.json")
    errors = held_against(written, keeper.take(full_run(plan)))
    assert "scheduler.cores" in {each.figure for each in beyond(errors, plan.slopes.error_most)}


def test_a_run_that_is_kept_is_not_played_again_unless_the_plan_changed(tmp_path: Path) -> None:
    plan, world = load_plan(), World()
    runs = slope_runs(plan)
    for _ in range(2):
        taken = [RunKeeper(plan, tmp_path, world.play).take(run) for run in runs]
    assert world.played == len(runs) and [each.name for each in taken] == [run.name for run in runs]
    other = overridden(plan, Overrides(speedup=plan.churn.speedup * 2))
    RunKeeper(other, tmp_path, world.play).take(slope_runs(other)[0])
    assert world.played == len(runs) + 1
    RunKeeper(plan, tmp_path, world.play).play(runs[1])
    assert world.played == len(runs) + 2, "a run that has to be played is"


def test_slopes_need_every_run_and_a_prediction_its_file(tmp_path: Path) -> None:
    plan, world = load_plan(), World()
    some = [world.play(plan, run, tmp_path) for run in slope_runs(plan)[:-1]]
    with pytest.raises(ScaleError, match="2 of 3 runs"):
        fit_slopes(plan, some)
    with pytest.raises(ScaleError, match=r"prediction\.json"):
        read_prediction(tmp_path / "prediction.json")


def test_figures_have_the_names_that_budgets_use() -> None:
    role = RoleFigures(1, 50.0, 0.2, 9.0, {"lists": 0.1}, {"lists": Traffic(3.0, None)})
    change = ChangeFigures(2, 0.5, 0.9, 0.9)
    size = load_plan().size
    figures = collect_figures(RunFigures("r", size, 1.0, 1, {"scheduler": role}, {}, change, 5.0))
    assert figures["scheduler.cores.lists"] == 0.1 and figures["scheduler.bytes_per_s.lists.in"] == 3.0
    assert "scheduler.bytes_per_s.lists.out" not in figures and "scheduler.control.cores" not in figures
    assert figures["change_in_force_s.most"] == 0.9
    role.count, role.hosted, role.most = 4, True, {"cores": 0.3}
    figures = collect_figures(RunFigures("r", size, 1.0, 1, {"node_agent": role}, {}, change, 5.0))
    assert figures["node_agent.all.cores"] == pytest.approx(0.8) and "node_agent.cores" not in figures
    assert not any(".most." in name for name in figures), "the most of a part is no sum"


def test_a_plan_with_too_many_real_schedulers_is_refused() -> None:
    plan = load_plan()
    with pytest.raises(PlanError, match="real_schedulers"):
        checked(msgspec.structs.replace(plan, real_schedulers=plan.size.schedulers + 1))


# --- processes ------------------------------------------------------------------------------------------


def test_the_guard_ends_what_a_killed_run_left_behind() -> None:
    child = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(600)"])
    guard = subprocess.Popen(module("ladderhub.lab.scale.guard"), stdin=subprocess.PIPE)
    assert guard.stdin is not None
    guard.stdin.write(f"{child.pid}\n".encode())
    guard.stdin.close()
    assert child.wait(60) == -signal.SIGKILL
    assert guard.wait(60) == 0
