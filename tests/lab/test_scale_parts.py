"""Tests of the parts of a scale run: line fits, predictions, budgets, figures and resumed stages."""

from __future__ import annotations

import signal
import subprocess
import sys
from itertools import pairwise
from pathlib import Path

import msgspec
import pytest

from ladderhub.lab.process import build_module_command
from ladderhub.lab.scale.budgets import BudgetVerdict, all_hold, check_budgets, format_summary
from ladderhub.lab.scale.changes import (
    compute_activation_times, compute_change_figures, draw_change_times, make_changed_settings,
)  # fmt: skip
from ladderhub.lab.scale.churn import draw_churn_events
from ladderhub.lab.scale.load import LoadResult, SentJob, compute_fill_factor
from ladderhub.lab.scale.measure import (
    Counters,
    Reading,
    Traffic,
    parse_counters,
    parse_gauge,
    read_directory_counters,
)
from ladderhub.lab.scale.plan import (
    DIMENSIONS, Budget, Control, Overrides, Plan, PlanError, ScaleError, apply_overrides, compute_slope_sizes,
    load_plan, scale_size, validate_plan,
)  # fmt: skip
from ladderhub.lab.scale.report import ChangeFigures, RoleFigures, RunFigures, collect_figures
from ladderhub.lab.scale.roles import compute_client_door_figures, compute_process_figures, compute_role_mean
from ladderhub.lab.scale.run import RunPlan, count_running_jobs
from ladderhub.lab.scale.settings import (
    build_host_plans,
    build_load_plans,
    build_node_plans,
    build_team_settings,
    compute_elector_count,
)
from ladderhub.lab.scale.slopes import (
    compare_figures,
    fit_line,
    fit_slope,
    is_straight,
    predict,
    select_large_errors,
)
from ladderhub.lab.scale.stages import (
    RunCache, check_run_budgets, compare_with_prediction, fit_slopes, plan_full_run, plan_slope_runs,
    read_prediction, write_prediction,
)  # fmt: skip
from ladderhub.lab.scale.hollow_nodes import HostResult
from ladderhub.lab.scale.starts import compute_start_figures, read_answers

S = 1_000_000_000


# --- lines ----------------------------------------------------------------------------------------------


def test_fit_of_collinear_points_is_exact() -> None:
    line = fit_line([(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])
    assert (line.per_unit, line.intercept) == pytest.approx((2.0, 3.0))
    assert line.residual == pytest.approx(0.0, abs=1e-12)
    assert line.evaluate(10.0) == pytest.approx(23.0)


def test_fit_is_the_least_squares_line() -> None:
    # Computed by hand: the means are 2 and 10/3, the residuals 1/6, -1/3 and 1/6.
    line = fit_line([(1.0, 0.0), (2.0, 3.0), (3.0, 7.0)])
    assert (line.per_unit, line.intercept) == pytest.approx((3.5, -11 / 3))
    assert line.residual == pytest.approx((1 / 18) ** 0.5)


def test_fit_of_points_with_one_x_has_slope_0_and_fit_of_no_points_fails() -> None:
    assert fit_line([(2.0, 1.0), (2.0, 3.0)]).per_unit == 0.0
    with pytest.raises(ValueError, match="points"):
        fit_line([])


@pytest.mark.parametrize(
    ("values", "straight"),
    [
        ((1.0, 2.0, 4.0), True),
        ((1.0, 4.0, 16.0), False),  # quadratic growth
        ((0.0, 0.0, 0.0), True),
        ((5.0, 5.2, 4.9), True),  # does not depend on the dimension
        ((0.0, 0.0, 8.0), False),  # starts to grow late
        ((4.0, 8.0, 8.0), False),  # levels off
    ],
)
def test_points_that_are_not_on_a_line_are_detected(values: tuple[float, ...], straight: bool) -> None:
    points = list(zip((1.0, 2.0, 4.0), values, strict=True))
    assert is_straight(points, fit_line(points), residual_most=0.05, flat=0.1) is straight


def test_prediction_adds_the_growth_along_each_dimension() -> None:
    # The figure is 1 + 2x + 3y, with x held at 4 and y at 5.
    along_x = fit_slope("f", "x", [(x, 1 + 2 * x + 15) for x in (2.0, 4.0, 8.0)], 0.05, 0.1)
    along_y = fit_slope("f", "y", [(y, 1 + 8 + 3 * y) for y in (2.0, 5.0, 9.0)], 0.05, 0.1)
    predicted = predict([along_x, along_y], {"x": 4.0, "y": 5.0}, {"x": 16.0, "y": 20.0})
    assert predicted["f"] == pytest.approx(1 + 32 + 60)
    falling = fit_slope("g", "x", [(2.0, 3.0), (4.0, 2.0), (8.0, 0.0)], 0.05, 0.1)
    assert predict([falling], {"x": 4.0}, {"x": 100.0}) == {"g": 0.0}


def test_errors_cover_figures_that_were_both_predicted_and_measured() -> None:
    errors = compare_figures(
        {"a": 3.0, "b": 1.0, "c": 1.0, "d": 0.0}, {"a": 2.0, "b": 0.0, "d": 0.0, "e": 9.0}
    )
    assert [(each.figure, each.error) for each in errors] == [("a", 0.5), ("b", None), ("d", 0.0)]
    assert [each.figure for each in select_large_errors(errors, 0.25)] == ["a", "b"]


# --- budgets --------------------------------------------------------------------------------------------


def test_budget_of_an_unmeasured_figure_does_not_hold_and_is_named() -> None:
    budgets = [Budget("a", 1.0), Budget("b", 2.0), Budget("c", 3.0)]
    found = check_budgets(budgets, {"a": 1.0, "b": 2.5})
    assert [each.holds for each in found] == [True, False, False]
    assert format_summary(found) == "over budget: b 2.5 > 2; not measured: c"
    assert not all_hold(found)


def test_all_budgets_hold_only_if_there_are_any() -> None:
    good = check_budgets([Budget("a", 1.0)], {"a": 0.5})
    assert all_hold(good) and format_summary(good) == "all 1 budgets hold"
    assert not all_hold([]) and "none holds" in format_summary([])
    assert not all_hold([BudgetVerdict("a", 1.0, None, False)])


# --- the plan -------------------------------------------------------------------------------------------


def test_default_plan_is_valid_and_its_budgets_name_figures() -> None:
    plan = load_plan()
    assert {budget.figure.split(".")[0] for budget in plan.budgets} == {
        "scheduler", "elector", "starts", "change_in_force_s"
    }  # fmt: skip
    assert plan.compute_accelerated_size().changes_per_h == plan.size.changes_per_h * plan.churn.speedup


def test_options_override_the_plan() -> None:
    plan = load_plan()
    changed = apply_overrides(
        plan, Overrides(schedulers=2, hollow_schedulers=20, nodes=60, seconds=3.0, seed=9)
    )
    assert (changed.size.schedulers, changed.real_schedulers, changed.size.nodes) == (22, 2, 60)
    assert (changed.playing.measure_s, changed.playing.full_measure_s, changed.seed) == (3.0, 3.0, 9)
    assert changed.size.teams == plan.size.teams
    only_real = apply_overrides(plan, Overrides(schedulers=plan.real_schedulers + 2))
    assert only_real.size.schedulers == plan.size.schedulers + 2, "the number of hollow ones stays as planned"


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
def test_invalid_plan_is_refused_with_the_name_of_the_field(tmp_path: Path, text: str, field: str) -> None:
    from ladderhub.lab.scale.plan import get_default_plan_path

    file = tmp_path / "plan.jsonnet"
    file.write_text(text.replace("PLAN", str(get_default_plan_path())))
    with pytest.raises(PlanError, match=field):
        load_plan(file)


def test_each_dimension_is_varied_alone() -> None:
    plan = load_plan()
    held = scale_size(plan, dict.fromkeys(DIMENSIONS, plan.slopes.held_at))
    for dimension, points in compute_slope_sizes(plan).items():
        assert [share for share, _ in points] == plan.slopes.shares
        for share, size in points:
            moved = {name for name in DIMENSIONS if size.get_value(name) != held.get_value(name)}
            assert moved == (set() if share == plan.slopes.held_at else {dimension})
    names = [run.name for run in plan_slope_runs(plan)]
    assert len(names) == len(set(names)) == 1 + 2 * len(DIMENSIONS), "the held size is executed once"
    assert not any(run.lose_a_rack for run in plan_slope_runs(plan)) and plan_full_run(plan).lose_a_rack


def test_there_are_never_fewer_schedulers_than_real_ones() -> None:
    plan = load_plan()
    few = apply_overrides(plan, Overrides(hollow_schedulers=0))
    assert {size.schedulers for _, size in compute_slope_sizes(few)["schedulers"]} == {few.real_schedulers}
    none = apply_overrides(plan, Overrides(changes=0.0))
    assert "changes_per_h" not in compute_slope_sizes(none)


# --- inputs of the processes ----------------------------------------------------------------------------


def test_electors_are_an_odd_number_of_the_real_schedulers() -> None:
    assert [compute_elector_count(5, real) for real in (1, 2, 3, 4, 5, 7)] == [1, 1, 3, 3, 5, 5]


def test_every_node_is_in_one_process_and_each_team_has_its_quota() -> None:
    plan = load_plan()
    nodes = build_node_plans(plan, plan.size, seed=3)
    assert nodes == build_node_plans(plan, plan.size, seed=3) and len({node.name for node in nodes}) == 1100
    hosts = build_host_plans(plan, nodes, ("127.0.0.1", 1))
    assert sorted(node.name for host in hosts for node in host.nodes) == [node.name for node in nodes]
    assert len({node.zone for node in nodes}) == 4
    teams = build_team_settings(plan, plan.size, nodes)
    assert len(teams) == plan.size.teams
    assert sum(each["quota_per_s"] for each in teams.values()) == pytest.approx(
        plan.quota.rate_times * plan.size.starts_per_s
    )


def test_the_load_keeps_as_many_jobs_running_as_are_wanted() -> None:
    plan = load_plan()
    loads = build_load_plans(plan, plan.size, [("127.0.0.1", 1)], seed=3)
    assert sum(each.rate for each in loads) == pytest.approx(plan.size.starts_per_s)
    assert {each.rate * each.life_s * len(loads) for each in loads} == {float(plan.size.running)}
    assert len({each.seed for each in loads}) == len(loads)
    # Some of the jobs submitted during the fill end before it is over; the number that is left running must
    # be the same as in the steady state.
    rate, life_s, fill_s, steps = 10.0, 8.0, 5.0, 100_000
    running, step = 0.0, fill_s / steps
    for _ in range(steps):
        running += step * (rate * compute_fill_factor(fill_s, life_s) - running / life_s)
    assert running == pytest.approx(rate * life_s, rel=1e-3)


def test_churn_events_follow_the_seed_and_the_accelerated_rates_and_affect_each_node_once() -> None:
    plan = load_plan()
    racks = {f"n{at}": f"rack-{at // 24}" for at in range(1100)}
    drawn = draw_churn_events(plan, list(racks), racks, 3600.0, 5, lose_a_rack=True)
    assert drawn == draw_churn_events(plan, list(racks), racks, 3600.0, 5, lose_a_rack=True)
    assert len({trouble.node for trouble in drawn}) == len(drawn)
    at_half = [trouble for trouble in drawn if trouble.at_s == 1800.0]
    assert len({racks[trouble.node] for trouble in at_half}) == 1 and len(at_half) in (20, 24)
    # 108 per day, accelerated 20 times, for one hour: Poisson distributed with mean 90.
    assert 50 < len(drawn) - len(at_half) < 130
    assert not draw_churn_events(plan, list(racks), racks, 0.0, 5, lose_a_rack=False)


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


def test_counters_are_parsed_from_the_metrics_page() -> None:
    counted = parse_counters(PAGE)
    assert counted == Counters({"jobs": 2.5, "lists": 0.5}, {"lists": Traffic(1000.0, 10.0)}, {})
    assert parse_gauge(PAGE, "ladderhub_nodes") == 60.0 and parse_gauge(PAGE, "ladderhub_members") is None
    assert parse_counters("ladderhub_nodes 60.0\n") is None, "a page without counters yields no measurement"


def test_a_directorys_statistics_are_read_with_its_work_in_steps(tmp_path: Path) -> None:
    row = {"bytes_in": 5, "bytes_out": 6, "messages_in": 1, "messages_out": 2}
    work = {"changes": 3, "rounds": 4, "lists": 5, "rows_sent": 6, "log_entries_walked": 7}
    file = tmp_path / "stats.json"
    file.write_bytes(
        msgspec.json.encode({"processor_seconds": 0.5, "traffic": {"node": row}, "rows": 9} | work)
    )
    counted = read_directory_counters(file)
    assert counted.bytes == {"node": Traffic(5, 6)} and counted.messages == {"node": Traffic(1, 2)}
    assert counted.work == work and counted.processor_s == {"whole": 0.5}
    before = Counters({}, {}, {}, {"log_entries_walked": 2.0})
    rates = compute_process_figures(reading(0.0, 0.0, before), reading(2.0, 0.0, counted), Control([], []))
    assert rates.work_per_s["log_entries_walked"] == 2.5


def reading(at_s: float, processor_s: float, counted: Counters | None = None) -> Reading:
    return Reading(at_s, processor_s, at_s / 5, 50_000_000, 12, counted)


def test_figures_are_rates_over_the_span_and_control_needs_every_cause() -> None:
    lists = {"directory": Traffic(300.0, 20.0), "ping": Traffic(10.0, 10.0), "client": Traffic(9e9, 9e9)}
    before = Counters({"jobs": 1.0, "lists": 1.0}, {"directory": Traffic(100.0, 0.0)}, {})
    after = Counters({"jobs": 5.0, "lists": 2.0}, lists, {})
    readings = reading(10.0, 4.0, before), reading(20.0, 9.0, after)
    spent = compute_process_figures(*readings, Control(["lists"], ["client"]))
    assert (spent.cores, spent.memory_mb, spent.descriptors) == (0.5, 50.0, 12)
    assert spent.memory_growth_mb_per_s == 0.0
    assert spent.cores_by_cause == {"jobs": 0.4, "lists": 0.1}
    assert (spent.control.cores, spent.control.bytes_per_s) == pytest.approx((0.1, 24.0))
    assert compute_process_figures(*readings, Control(["lists", "peers"], [])).control.cores is None
    uncounted = compute_process_figures(reading(10.0, 4.0), reading(20.0, 9.0), Control([], []), share=10)
    assert (uncounted.count, uncounted.memory_mb, uncounted.cores) == (10, 5.0, 0.05)
    assert uncounted.waited == pytest.approx(0.2), "refers to the process, not to a member"
    assert (uncounted.control.cores, uncounted.control.bytes_per_s) == (None, None)


def test_role_has_the_mean_over_its_processes_and_the_maximum_of_each_figure() -> None:
    small, large = RoleFigures(1, 40.0, 0.1, 10.0), RoleFigures(3, 80.0, 0.5, 30.0)
    small.bytes_per_s, large.bytes_per_s = {"lists": Traffic(1.0, 2.0)}, {"lists": Traffic(5.0, None)}
    role = compute_role_mean([small, large])
    assert (role.count, role.memory_mb, role.descriptors) == (4, 70.0, 25.0)
    assert role.cores == pytest.approx(0.4)
    assert role.bytes_per_s == {"lists": Traffic(4.0, None)}, "no mean if a process did not count it"
    assert (role.most["memory_mb"], role.most["bytes_per_s.lists.out"]) == (80.0, 2.0)


def test_client_door_is_a_part_of_its_scheduler() -> None:
    scheduler = RoleFigures(1, 40.0, 0.1, 99.0, {}, {"client": Traffic(5.0, 6.0), "node": Traffic(1.0, 1.0)})
    door = compute_client_door_figures([scheduler], [7.0], "client")
    assert (door.count, door.memory_mb, door.cores, door.descriptors) == (1, None, None, 7.0)
    assert door.bytes_per_s == {"client": Traffic(5.0, 6.0)}


def test_starts_are_counted_by_class_and_jobs_that_never_ran_by_answer(tmp_path: Path) -> None:
    rows = [
        {"event": "taken", "job": "4.s", "queue": "web"},
        {"event": "answer", "job": "4.s", "answer": "refused", "reason": "no room"},
        {"event": "answer", "job": "5.s", "answer": "failed", "reason": ""},
    ]
    log = tmp_path / "log"
    log.write_bytes(b"\n".join(msgspec.json.encode(row) for row in rows) + b'\n{"event": "answer", cut\n')
    answers = read_answers([log])
    assert answers == {"4.s": "refused", "5.s": "failed"}
    jobs = {f"{at}.s": SentJob("web", at * S, at * S) for at in range(8)}
    jobs["9.s"] = SentJob("urgent", 3 * S, 3 * S)
    ran = {f"{at}.s": at * S + 250_000_000 for at in range(4)} | {"9.s": 4 * S}
    sent = [LoadResult(jobs, [("web", 2 * S), ("urgent", 90 * S)])]
    found = compute_start_figures(["urgent", "web", "batch"], sent, ran, answers, 1 * S, 7 * S)
    web = found["web"]
    assert (web.count, web.refused, web.failed, web.unsubmitted, web.unanswered) == (7, 1, 1, 1, 1)
    assert web.p50_ms == pytest.approx(250, rel=0.01) and web.missed_share == pytest.approx(4 / 7)
    assert found["urgent"].p99_ms == pytest.approx(1000, rel=0.01) and found["urgent"].missed_share == 0.0
    assert (found["batch"].count, found["batch"].p99_ms) == (0, None)


def test_running_jobs_have_started_and_not_ended() -> None:
    seen = [HostResult({"a": 1, "b": 2, "c": 9}, {"a": 3, "x": 1}), HostResult({"d": 5}, {"d": 6})]
    assert [count_running_jobs(seen, moment) for moment in (0, 2, 3, 5, 6, 9)] == [0, 2, 1, 2, 1, 2]


def test_changes_are_evenly_spaced_and_each_differs() -> None:
    moments = draw_change_times(600.0, 60.0, seed=3)
    assert moments == draw_change_times(600.0, 60.0, seed=3) and len(moments) == 10
    assert all(later - earlier == pytest.approx(6.0) for earlier, later in pairwise(moments))
    assert draw_change_times(0.0, 60.0, seed=3) == [] and len(draw_change_times(1.0, 60.0, seed=3)) == 1
    plan = load_plan()
    settings = {
        "tenants": build_team_settings(plan, plan.size, build_node_plans(plan, plan.size, 1)),
        "server": "s",
    }
    bodies = {msgspec.json.encode(make_changed_settings(settings, number)) for number in range(500)}
    assert len(bodies) == 500 and msgspec.json.encode(settings) not in bodies


def revision_row(what: str, body: str, second: int, number: int = 0) -> bytes:
    at = f"2026-01-01T00:00:{second:02d}.250000Z"
    row = {"event": "revision", "what": what, "body": body, "number": number, "timestamp": at}
    return msgspec.json.encode(row) + b"\n"


def test_change_is_in_force_once_it_or_a_later_one_is_active_on_all_schedulers(tmp_path: Path) -> None:
    one, two = tmp_path / "one.log", tmp_path / "two.log"
    one.write_bytes(
        revision_row("proposed", "a", 1) + revision_row("active", "a", 2, 1)
        + revision_row("proposed", "b", 3) + revision_row("active", "b", 4, 2)
        + revision_row("proposed", "c", 8) + b'{"event": "revision"'
    )  # fmt: skip
    two.write_bytes(revision_row("active", "b", 9, 2) + revision_row("active", "d", 20, 3))
    times = compute_activation_times([one, two])
    assert times == [8.0, 6.0, None], "the second change activated the first on the second scheduler"
    figures = compute_change_figures(4, times)
    assert (figures.count, figures.most, figures.missed_share) == (2, 8.0, 0.5)
    assert compute_change_figures(0, []) == ChangeFigures()


# --- stages ---------------------------------------------------------------------------------------------


class FakeExecutor:
    """Computes the figures of runs by a formula instead of executing processes, and counts the runs."""

    def __init__(self, square: float = 0.0) -> None:
        self.square, self.executed = square, 0

    def execute(self, plan: Plan, run: RunPlan, folder: Path) -> RunFigures:
        self.executed += 1
        size = run.size
        cores = 0.01 + 0.0001 * size.nodes + 0.001 * size.starts_per_s + self.square * size.nodes**2
        role = RoleFigures(7, 50.0 + 0.01 * size.running, cores, 100.0)
        role.most = {"control.cores": cores}
        return RunFigures(
            run.name, size, run.seconds, run.seed, {"scheduler": role}, {}, ChangeFigures(), size.running
        )


def test_linear_figures_are_predicted_and_budgets_are_checked(tmp_path: Path) -> None:
    plan, executor = load_plan(), FakeExecutor()
    cache = RunCache(plan, tmp_path, executor.execute)
    slopes = fit_slopes(plan, [cache.get_or_execute(run) for run in plan_slope_runs(plan)])
    assert all(each.straight for each in slopes)
    file = tmp_path / "prediction.json"
    written = write_prediction(plan, slopes, file)
    assert read_prediction(file) == written
    full = cache.get_or_execute(plan_full_run(plan))
    errors = compare_with_prediction(written, full)
    assert {each.figure for each in errors} >= {"scheduler.cores", "scheduler.memory_mb", "running"}
    assert all(each.error == pytest.approx(0.0, abs=1e-9) for each in errors)
    verdicts = {each.figure: each for each in check_run_budgets(plan, full)}
    assert verdicts["scheduler.most.control.cores"].measured == pytest.approx(0.01 + 0.11 + 0.35)
    assert verdicts["starts.urgent.p99_ms"].measured is None and not verdicts["starts.urgent.p99_ms"].holds


def test_quadratic_growth_is_detected_and_mispredicted(tmp_path: Path) -> None:
    plan = load_plan()
    cache = RunCache(plan, tmp_path, FakeExecutor(square=1e-5).execute)
    slopes = fit_slopes(plan, [cache.get_or_execute(run) for run in plan_slope_runs(plan)])
    curved = {(each.figure, each.dimension) for each in slopes if not each.straight}
    assert ("scheduler.cores", "nodes") in curved and not any(dimension == "teams" for _, dimension in curved)
    written = write_prediction(plan, slopes, tmp_path / "prediction.json")
    errors = compare_with_prediction(written, cache.get_or_execute(plan_full_run(plan)))
    assert "scheduler.cores" in {each.figure for each in select_large_errors(errors, plan.slopes.error_most)}


def test_stored_run_is_not_repeated_unless_the_plan_changed(tmp_path: Path) -> None:
    plan, executor = load_plan(), FakeExecutor()
    runs = plan_slope_runs(plan)
    for _ in range(2):
        taken = [RunCache(plan, tmp_path, executor.execute).get_or_execute(run) for run in runs]
    assert executor.executed == len(runs) and [each.name for each in taken] == [run.name for run in runs]
    other = apply_overrides(plan, Overrides(speedup=plan.churn.speedup * 2))
    RunCache(other, tmp_path, executor.execute).get_or_execute(plan_slope_runs(other)[0])
    assert executor.executed == len(runs) + 1
    RunCache(plan, tmp_path, executor.execute).execute(runs[1])
    assert executor.executed == len(runs) + 2, "`execute` ignores a stored run"


def test_slopes_need_every_run_and_prediction_needs_its_file(tmp_path: Path) -> None:
    plan, executor = load_plan(), FakeExecutor()
    some = [executor.execute(plan, run, tmp_path) for run in plan_slope_runs(plan)[:-1]]
    with pytest.raises(ScaleError, match="figures exist for 2 of 3 runs"):
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
    assert not any(".most." in name for name in figures), "maxima of members are not summed"


def test_a_plan_with_too_many_real_schedulers_is_refused() -> None:
    plan = load_plan()
    with pytest.raises(PlanError, match="real_schedulers"):
        validate_plan(msgspec.structs.replace(plan, real_schedulers=plan.size.schedulers + 1))


# --- processes ------------------------------------------------------------------------------------------


def test_guard_kills_the_processes_of_a_killed_run() -> None:
    child = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(600)"])
    guard = subprocess.Popen(build_module_command("ladderhub.lab.scale.guard"), stdin=subprocess.PIPE)
    assert guard.stdin is not None
    guard.stdin.write(f"{child.pid}\n".encode())
    guard.stdin.close()
    assert child.wait(60) == -signal.SIGKILL
    assert guard.wait(60) == 0
