"""Prints the table of one experiment from the reports in a folder.

usage: measure_table.py <folder> <experiment>
"""
import glob
import json
import statistics
import sys

POLICIES = ["two_choice", "round_robin", "least_reported_load"]


def runs(folder, name, policy):
    """Reports of all seeds, by seed."""
    found = {}
    for file in sorted(glob.glob(f"{folder}/{name}.{policy}.*.json")):
        with open(file, encoding="utf-8") as text:
            report = json.load(text)
        found[report["seed"]] = report
    return found


def kind(report, phase, name):
    return report["phases"].get(phase, {}).get("kinds", {}).get(name, {})


def quantile(report, phase, name, what, q="p99"):
    found = kind(report, phase, name).get(what)
    return found[q] if found else None


def count(report, phase, name, end):
    return kind(report, phase, name).get("outcomes", {}).get(end, 0)


def total(report, phase, end):
    kinds = report["phases"].get(phase, {}).get("kinds", {})
    return sum(one["outcomes"].get(end, 0) for one in kinds.values())


def ratio(a, b):
    return a / b if a is not None and b else None


def shown(values):
    """Median and range over the seeds."""
    known = [value for value in values if value is not None]
    if not known:
        return "-"
    middle = statistics.median(known)
    if len(known) == 1:
        return f"{middle:.4g}"
    return f"{middle:.4g} ({min(known):.4g}-{max(known):.4g})"


def cores(report):
    return sum(report["cpu"]["cores"].values())


def print_table(rows, columns):
    print("| | " + " | ".join(columns) + " |")
    print("|---|" + "---|" * len(columns))
    for name, cells in rows:
        print(f"| {name} | " + " | ".join(cells) + " |")
    print()


def common_rows(by_policy, phase):
    def over(function):
        return [shown([function(one) for one in found.values()]) for found in by_policy]

    return [
        ("lost or wrong", over(lambda r: total(r, phase, "lost") + total(r, phase, "wrong"))),
        ("may-have-run", over(lambda r: total(r, phase, "may_have_run"))),
        ("not-run", over(lambda r: total(r, phase, "not_run"))),
        ("not-run that a stand-in ran", over(lambda r: r["audit"]["false_not_run"])),
        ("unrepeatable calls run twice", over(lambda r: r["audit"]["repeated_once"])),
        (
            "extra runs, % of requests run",
            over(lambda r: 100 * r["audit"]["extra_runs"] / max(r["audit"]["ran"], 1)),
        ),
        ("cores of entries", over(lambda r: r["cpu"]["cores"].get("entry", 0))),
        ("cores of all our processes", over(cores)),
        ("machine busy, %", over(lambda r: 100 * r["cpu"]["machine_busy_share"])),
        ("start delay of the generator p99, ms", over(lambda r: r["start_delay_ms"]["p99"])),
    ]


def compare(folder, base, other, phase, rows):
    """Rows of (name, kind, quantity): value without, with and their ratio."""
    befores = [runs(folder, base, policy) for policy in POLICIES]
    afters = [runs(folder, other, policy) for policy in POLICIES]
    table = []
    for name, work, what in rows:
        for label, found, part in (("base", befores, phase), ("with", afters, phase)):
            table.append(
                (
                    f"{name}, {label}, ms",
                    [
                        shown([quantile(r, part, work, what) for r in one.values()])
                        for one in found
                    ],
                )
            )
        table.append(
            (
                f"{name}, ratio",
                [
                    shown(
                        [
                            ratio(
                                quantile(after[seed], phase, work, what),
                                quantile(before[seed], phase, work, what),
                            )
                            for seed in after
                            if seed in before
                        ]
                    )
                    for before, after in zip(befores, afters)
                ],
            )
        )
    print_table(table + common_rows(afters, phase), POLICIES)


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
    found = [runs(folder, "b_peak", policy) for policy in POLICIES]
    capacity = 12 * 8 / (0.014 + 8 * 0.00015)

    def over(function):
        return [shown([function(one) for one in reports.values()]) for reports in found]

    def urgent(r, phase):
        sent = kind(r, phase, "short").get("sent", 0)
        good = count(r, phase, "short", "ok") - kind(r, phase, "short").get("late", 0)
        return 100 * good / max(sent, 1)

    table = [
        ("urgent within deadline at the peak, %", over(lambda r: urgent(r, "peak"))),
        ("urgent within deadline in the run, %", over(lambda r: urgent(r, "all"))),
        (
            "goodput at the peak, % of capacity",
            over(lambda r: 100 * r["phases"]["peak"]["goodput"]["tokens_per_s"] / capacity),
        ),
        ("handovers refused at the peak", over(lambda r: count(r, "peak", "long", "not_run"))),
        (
            "p99 refusal of handovers at the peak, ms",
            over(lambda r: quantile(r, "peak", "long", "refusal_ms")),
        ),
        ("p99 first token of urgent, before, ms", over(lambda r: quantile(r, "before", "short", "first_ms"))),
        ("p99 first token of urgent, peak, ms", over(lambda r: quantile(r, "peak", "short", "first_ms"))),
        ("p99 first token of urgent, 3 s after the peak, ms", over(lambda r: quantile(r, "after", "short", "first_ms"))),
        ("p99 of handovers, before, ms", over(lambda r: quantile(r, "before", "long", "whole_ms"))),
        ("p99 of handovers, 3 s after the peak, ms", over(lambda r: quantile(r, "after", "long", "whole_ms"))),
        ("not answered in full 3 s after the peak", over(lambda r: total(r, "after", "not_run") + total(r, "after", "may_have_run"))),
    ]
    print_table(table + common_rows(found, "all"), POLICIES)


def memory(folder):
    found = [runs(folder, "d_memory", policy) for policy in POLICIES]

    def over(function):
        return [shown([function(one) for one in reports.values()]) for reports in found]

    table = [
        ("preemptions", over(lambda r: r["audit"]["preemptions"])),
        ("stall, ms", over(lambda r: r["audit"]["stall_ms"])),
        ("long generations whole", over(lambda r: count(r, "measured", "long", "ok"))),
        ("p99 of long generations, ms", over(lambda r: quantile(r, "measured", "long", "whole_ms"))),
        ("p99 of short generations, ms", over(lambda r: quantile(r, "measured", "short", "whole_ms"))),
    ]
    print_table(table + common_rows(found, "measured"), POLICIES)


def kills(folder):
    found = [runs(folder, "e_kills", policy) for policy in POLICIES]

    def over(function):
        return [shown([function(one) for one in reports.values()]) for reports in found]

    table = []
    for work in ("read", "short", "long", "once"):
        table.append((f"{work}: sent", over(lambda r: kind(r, "measured", work).get("sent", 0))))
        table.append((f"{work}: whole", over(lambda r: count(r, "measured", work, "ok"))))
        table.append((f"{work}: may-have-run", over(lambda r: count(r, "measured", work, "may_have_run"))))
        table.append((f"{work}: p99, ms", over(lambda r: quantile(r, "measured", work, "whole_ms"))))
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
