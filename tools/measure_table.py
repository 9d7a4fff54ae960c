"""Prints the result table of an experiment from the tarragon-load reports in a folder.

usage: measure_table.py <folder> <experiment>
"""
import glob
import json
import statistics
import sys

POLICIES = ["two_choice", "round_robin", "least_reported_load"]


def load_reports(folder, name, policy):
    """Returns the reports of an experiment and policy, by seed."""
    found = {}
    for file in sorted(glob.glob(f"{folder}/{name}.{policy}.*.json")):
        with open(file, encoding="utf-8") as text:
            report = json.load(text)
        found[report["seed"]] = report
    return found


def kind_summary(report, phase, name):
    return report["phases"].get(phase, {}).get("kinds", {}).get(name, {})


def quantile(report, phase, name, metric, q="p99"):
    quantiles = kind_summary(report, phase, name).get(metric)
    return quantiles[q] if quantiles else None


def outcome_count(report, phase, name, outcome):
    return kind_summary(report, phase, name).get("outcomes", {}).get(outcome, 0)


def total_outcome_count(report, phase, outcome):
    kinds = report["phases"].get(phase, {}).get("kinds", {})
    return sum(summary["outcomes"].get(outcome, 0) for summary in kinds.values())


def ratio(a, b):
    return a / b if a is not None and b else None


def format_median_and_range(values):
    """Formats the median and the range over the seeds."""
    known = [value for value in values if value is not None]
    if not known:
        return "-"
    median = statistics.median(known)
    if len(known) == 1:
        return f"{median:.4g}"
    return f"{median:.4g} ({min(known):.4g}-{max(known):.4g})"


def total_cores(report):
    return sum(report["cpu"]["cores"].values())


def print_table(rows, columns):
    print("| | " + " | ".join(columns) + " |")
    print("|---|" + "---|" * len(columns))
    for name, cells in rows:
        print(f"| {name} | " + " | ".join(cells) + " |")
    print()


def common_rows(by_policy, phase):
    def per_policy(function):
        return [format_median_and_range([function(one) for one in found.values()]) for found in by_policy]

    return [
        ("lost or wrong", per_policy(lambda r: total_outcome_count(r, phase, "lost") + total_outcome_count(r, phase, "wrong"))),
        ("left open at the end of the run", per_policy(lambda r: total_outcome_count(r, phase, "abandoned"))),
        ("may-have-run", per_policy(lambda r: total_outcome_count(r, phase, "may_have_run"))),
        ("not-run", per_policy(lambda r: total_outcome_count(r, phase, "not_run"))),
        ("not-run although an endpoint ran it", per_policy(lambda r: r["audit"]["false_not_run"])),
        ("unrepeatable calls run twice", per_policy(lambda r: r["audit"]["repeated_once"])),
        (
            "extra runs, % of requests run",
            per_policy(lambda r: 100 * r["audit"]["extra_runs"] / max(r["audit"]["ran"], 1)),
        ),
        ("cores of entries", per_policy(lambda r: r["cpu"]["cores"].get("entry", 0))),
        ("cores of all our processes", per_policy(total_cores)),
        ("machine busy, %", per_policy(lambda r: 100 * r["cpu"]["machine_busy_share"])),
        ("start delay of the generator p99, ms", per_policy(lambda r: r["start_delay_ms"]["p99"])),
    ]


def compare(folder, base, other, phase, rows):
    """Prints a table that compares two load mixes.

    For each row (name, request kind, metric), prints the p99 in `base` and in `other` and the
    ratio of the two.
    """
    base_reports = [load_reports(folder, base, policy) for policy in POLICIES]
    other_reports = [load_reports(folder, other, policy) for policy in POLICIES]
    table = []
    for name, request_kind, metric in rows:
        for label, reports, part in (("base", base_reports, phase), ("with", other_reports, phase)):
            table.append(
                (
                    f"{name}, {label}, ms",
                    [
                        format_median_and_range([quantile(r, part, request_kind, metric) for r in one.values()])
                        for one in reports
                    ],
                )
            )
        table.append(
            (
                f"{name}, ratio",
                [
                    format_median_and_range(
                        [
                            ratio(
                                quantile(other_runs[seed], phase, request_kind, metric),
                                quantile(base_runs[seed], phase, request_kind, metric),
                            )
                            for seed in other_runs
                            if seed in base_runs
                        ]
                    )
                    for base_runs, other_runs in zip(base_reports, other_reports)
                ],
            )
        )
    print_table(table + common_rows(other_reports, phase), POLICIES)


def short_behind_long(folder):
    rows = [
        ("p99 of lookups", "read", "whole_ms"),
        ("p99 of short generations", "short", "whole_ms"),
        ("p99 first token of short generations", "short", "first_ms"),
        ("p99 between tokens of short generations", "short", "gap_ms"),
    ]
    compare(folder, "a_without", "a_with", "measured", rows)


def slow_endpoints(folder):
    rows = [
        ("p99 between tokens", "short", "gap_ms"),
        ("p99 of reads", "read", "whole_ms"),
        ("p99 of leak triage", "short", "whole_ms"),
    ]
    for phase, text in (("all", "from the start of the slowdown"), ("later", "5 s later")):
        print(f"Measured {text}:\n")
        compare(folder, "c_healthy", "c_slow", phase, rows)


def peak(folder):
    found = [load_reports(folder, "b_peak", policy) for policy in POLICIES]
    capacity = 12 * 8 / (0.014 + 8 * 0.00015)

    def per_policy(function):
        return [format_median_and_range([function(one) for one in reports.values()]) for reports in found]

    def urgent(r, phase):
        sent = kind_summary(r, phase, "short").get("sent", 0)
        good = outcome_count(r, phase, "short", "ok") - kind_summary(r, phase, "short").get("late", 0)
        return 100 * good / max(sent, 1)

    table = [
        ("urgent within deadline at the peak, %", per_policy(lambda r: urgent(r, "peak"))),
        ("urgent within deadline in the run, %", per_policy(lambda r: urgent(r, "all"))),
        (
            "goodput at the peak, % of capacity",
            per_policy(lambda r: 100 * r["phases"]["peak"]["goodput"]["tokens_per_s"] / capacity),
        ),
        ("handovers refused at the peak", per_policy(lambda r: outcome_count(r, "peak", "long", "not_run"))),
        (
            "p99 refusal of handovers at the peak, ms",
            per_policy(lambda r: quantile(r, "peak", "long", "refusal_ms")),
        ),
        (
            "handovers completed late at the peak",
            per_policy(lambda r: kind_summary(r, "peak", "long").get("late", 0)),
        ),
        ("p99 first token of urgent, before, ms", per_policy(lambda r: quantile(r, "before", "short", "first_ms"))),
        ("p99 first token of urgent, peak, ms", per_policy(lambda r: quantile(r, "peak", "short", "first_ms"))),
        ("p99 first token of urgent, from 3 s after the peak, ms", per_policy(lambda r: quantile(r, "after", "short", "first_ms"))),
        ("p99 of handovers, before, ms", per_policy(lambda r: quantile(r, "before", "long", "whole_ms"))),
        ("p99 of handovers, 3 s after the peak, ms", per_policy(lambda r: quantile(r, "after", "long", "whole_ms"))),
        ("not answered in full 3 s after the peak", per_policy(lambda r: total_outcome_count(r, "after", "not_run") + total_outcome_count(r, "after", "may_have_run"))),
    ]
    print_table(table + common_rows(found, "all"), POLICIES)


def memory(folder):
    found = [load_reports(folder, "d_memory", policy) for policy in POLICIES]

    def per_policy(function):
        return [format_median_and_range([function(one) for one in reports.values()]) for reports in found]

    table = [
        ("preemptions", per_policy(lambda r: r["audit"]["preemptions"])),
        ("stall, ms", per_policy(lambda r: r["audit"]["stall_ms"])),
        ("long generations completed", per_policy(lambda r: outcome_count(r, "measured", "long", "ok"))),
        ("p99 of long generations, ms", per_policy(lambda r: quantile(r, "measured", "long", "whole_ms"))),
        ("p99 of short generations, ms", per_policy(lambda r: quantile(r, "measured", "short", "whole_ms"))),
    ]
    print_table(table + common_rows(found, "measured"), POLICIES)


def kills(folder):
    found = [load_reports(folder, "e_kills", policy) for policy in POLICIES]

    def per_policy(function):
        return [format_median_and_range([function(one) for one in reports.values()]) for reports in found]

    table = []
    for request_kind in ("read", "short", "long", "once"):
        table.append((f"{request_kind}: sent", per_policy(lambda r: kind_summary(r, "measured", request_kind).get("sent", 0))))
        table.append((f"{request_kind}: completed", per_policy(lambda r: outcome_count(r, "measured", request_kind, "ok"))))
        table.append((f"{request_kind}: may-have-run", per_policy(lambda r: outcome_count(r, "measured", request_kind, "may_have_run"))))
        table.append((f"{request_kind}: p99, ms", per_policy(lambda r: quantile(r, "measured", request_kind, "whole_ms"))))
    print_table(table + common_rows(found, "measured"), POLICIES)


if __name__ == "__main__":
    EXPERIMENTS = {
        "short_behind_long": short_behind_long,
        "slow_endpoints": slow_endpoints,
        "peak": peak,
        "memory": memory,
        "kills": kills,
    }
    if len(sys.argv) != 3 or sys.argv[2] not in EXPERIMENTS:
        sys.exit(f"usage: measure_table.py <folder> <{'|'.join(EXPERIMENTS)}>")
    EXPERIMENTS[sys.argv[2]](sys.argv[1])
