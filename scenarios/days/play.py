#!/usr/bin/env python3
"""Plays days of one kind of trouble at a time on the users' bench and prints a table.

    play.py --bench PROGRAM --site SITE.toml [--only TEXT] [--jobs N] [--why TEXT] [--out DIR]

Each day repeats one trouble at awkward moments: while the instances start, under
load, and again; configurations and demand change meanwhile; days end with a final
fault in turn. A row a day: rules broken, fault, floors missed, worth, prices.
"""
import argparse
import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tomllib

# One trouble a row: its fields as the bench names them.
TROUBLES = {
    "burst": [{"x": 1.7, "for_s": 3.0}],
    "retry_abuse": [{"x": 3.0, "share": 0.3, "for_s": 5.5}],
    "give_up": [{"share": 0.3, "for_s": 5.0}, {"share": 0.3, "x": 1500.0, "for_s": 5.0}],
    "shift": [{"for_s": 5.0}],
    "srv_crash": [{"how": how, "share": 0.17, "for_s": 4.5} for how in ("", "dark", "gone")],
    "srv_grey": [
        {"how": how, "share": 0.2, "x": 0.45, "for_s": 6.0}
        for how in ("errors", "errors all", "shed", "busy", "hang", "reset", "mute", "slow")
    ],
    "release": [{"share": 0.4, "x": 1.0, "gap_s": 1.0}],
    "scale_out": [{"share": 0.3, "gap_s": 2.0}],
    "scale_in": [
        {"how": "", "share": 0.15},
        {"how": "spot", "share": 0.15, "x": 2.0},
        {"how": "reclaim", "x": 2.5, "for_s": 5.0},
    ],
    "answer_lost": [{"how": how, "share": 0.5, "x": 0.1, "for_s": 5.0} for how in ("", "reset")],
    "garble": [
        {"how": how, "share": 0.5, "x": 0.05, "for_s": 5.0}
        for how in ("", "extra", "extra late", "unframed", "early")
    ],
    "node_kill": [
        {"how": "", "share": 0.2, "for_s": 3.0},
        {"how": "power", "share": 0.2, "for_s": 3.0},
        {"how": "power leader", "on": "core", "count": 1, "for_s": 3.5},
        {"how": "leader race drain", "on": "core", "count": 1},
        {"how": "meet drain", "on": "core", "count": 1, "for_s": 3.0},
    ],
    "node_freeze": [
        {"how": how, "count": 1, "for_s": 4.5} for how in ("", "giver", "leader race drain", "reader meet")
    ],
    "node_slow": [{"share": 0.2, "x": 5.5, "for_s": 5.5}],
    "roll_term": [
        {"how": "", "share": 1.0, "gap_s": 1.0},
        {"how": "busy", "share": 0.5, "gap_s": 1.0},
        {"how": "remove", "share": 0.3, "gap_s": 2.0},
    ],
    "add_nodes": [{"share": 0.75}],
    "replace_core": [{"how": how, "x": 2.0} for how in ("", "leader", "seed", "planned")],
    "after_ack_kill": [{"how": how, "for_s": 3.0} for how in ("", "kill", "timed")],
    "clock_step": [{"how": how, "share": 0.5, "x": 2400.0, "for_s": 5.0} for how in ("ahead", "back")],
    "hup": [{"share": 0.7, "gap_s": 1.0}],
    "core_cut": [
        {"how": how, "count": 1, "for_s": 5.5} for how in ("", "all", "giver", "leader race", "one_way", "meet")
    ],
    "node_cut": [
        {"how": how, "share": 0.2, "for_s": 5.5} for how in ("", "all", "meet", "reset", "refuse")
    ],
    "lossy": [{"x": 0.025, "for_s": 5.5}],
    "platform_down": [
        {"how": "silent", "for_s": 4.5},
        {"how": "busy", "for_s": 4.5},
        {"how": "reset", "for_s": 4.5},
        {"how": "silent", "share": 0.3, "for_s": 4.5},
        {"how": "nodes busy meet", "share": 0.35, "for_s": 7.0},
        {"how": "nodes many", "share": 0.35, "for_s": 7.0},
        {"how": "nodes leader reset", "count": 1, "for_s": 7.0},
        {"how": "nodes meet drain", "share": 0.35, "for_s": 7.0},
    ],
    "platform_slow": [{"x": 60.0, "for_s": 4.5}],
    "platform_lost": [{"how": how, "x": 0.4, "for_s": 5.0} for how in ("", "late")],
    "platform_compact": [{"how": how, "x": 4.0, "for_s": 6.0} for how in ("", "drain")],
    "config_change": [{"how": how} for how in ("route", "weights", "timeout", "idle")],
    "config_storm": [{"for_s": 4.0, "gap_s": 0.2}],
    "big_config": [{"count": 350}],
    "model_shift": [{"count": 3, "for_s": 5.0}],
    "applied_late": [{"how": how, "x": 0.6, "for_s": 5.5} for how in ("orders", "all")],
    "srv_slow": [{"share": 0.2, "x": 4.0, "for_s": 5.0}],
    "srv_cut": [{"how": how, "share": 0.2, "for_s": 5.0} for how in ("", "fronts", "some", "one_way", "reset")],
    "replace_with_reuse": [{"how": how, "share": 0.15} for how in ("", "drain", "dark")],
    "herd_kill": [{"how": how, "share": 0.6, "for_s": 3.0} for how in ("", "power")],
    "reset_conns": [{"share": 0.3, "x": 0.5}],
}

# Kinds that the bench takes as planned work.
PLANNED = {
    "release", "scale_out", "scale_in", "roll_term", "add_nodes", "hup",
    "config_change", "config_storm", "big_config", "model_shift",
}
MOMENTS = (0.3, 11.0, 21.5)
CLOSINGS = (
    {"kind": "kill_all", "down_s": 1.1},
    {"kind": "power_off_all", "down_s": 0.6},
    {"kind": "power_off_all", "down_s": 1.4, "how": "timed"},
    None,
)
BACKGROUND = (
    {"at": 1.0, "kind": "model_shift", "count": 2, "for_s": 5.0},
    {"at": 13.0, "kind": "model_shift", "count": 3, "for_s": 5.0},
    {"at": 24.0, "kind": "config_change", "how": "route"},
)


def value(item):
    """Writes a value as TOML."""
    if isinstance(item, dict):
        return "{ " + ", ".join(f"{key} = {value(part)}" for key, part in item.items()) + " }"
    if isinstance(item, (list, tuple)):
        return "[" + ", ".join(value(part) for part in item) + "]"
    return json.dumps(item)


def days(site):
    """Makes the days of a site: name and text."""
    pattern = site["day"][0]
    number = 0
    for kind, variants in TROUBLES.items():
        for variant in variants:
            number += 1
            strikes = [{"at": at, "kind": kind, **variant} for at in MOMENTS]
            plan = list(BACKGROUND)
            faults = []
            (plan if kind in PLANNED else faults).extend(strikes)
            name = "-".join([kind, *variant.get("how", "").split()])
            name += f"-{number}"
            day = {
                "name": name,
                "slot": "trouble",
                "seed": 7_000 + number,
                "one": 0.9,
                "zero": 0.2,
                "plan": plan,
                "faults": faults,
                "traffic": pattern["traffic"],
            }
            closing = CLOSINGS[number % len(CLOSINGS)]
            if closing:
                day["closing"] = closing
            yield name, "\n".join(f"{key} = {value(item)}" for key, item in day.items()) + "\n"


def play(arguments, folder, name, text):
    """Plays one day and returns its row."""
    path = folder / f"{name}.toml"
    path.write_text(text)
    report = folder / f"{name}.json"
    command = [arguments.bench, "run", arguments.site, str(path), "--why", f"{arguments.why}: {name}",
               "--no-cpu", "--report", str(report)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    (folder / f"{name}.txt").write_text(done.stdout + done.stderr)
    if not report.exists():
        return f"{name:42} not played: {(done.stdout + done.stderr).strip().splitlines()[-1:]}"
    told = json.loads(report.read_text())
    marks = [f"{key}: {told[key]}" for key in ("breaks", "fault", "short") if told.get(key)]
    figures = " ".join(f"{key} {told[key]:.3f}" for key in ("G", "served", "refused", "failed") if isinstance(told.get(key), float))
    return f"{name:42} {figures} {' | '.join(marks)[:400]}"


def options(description, why):
    """Makes the parser of the options that all sets of days take."""
    parser = argparse.ArgumentParser(description=description, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--why", default=why)
    parser.add_argument("--out", default="target/days")
    return parser


def play_all(arguments, named):
    """Plays days, name and text, some at a time, and prints a row of each."""
    folder = pathlib.Path(arguments.out) / pathlib.Path(arguments.site).stem
    folder.mkdir(parents=True, exist_ok=True)
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        for row in pool.map(lambda day: play(arguments, folder, *day), named):
            print(row, flush=True)
    return 0


def main():
    """Plays a site's days."""
    parser = options(__doc__, "own days, one trouble at a time")
    parser.add_argument("--only", default="")
    arguments = parser.parse_args()
    site = tomllib.loads(pathlib.Path(arguments.site).read_text())
    return play_all(arguments, [day for day in days(site) if arguments.only in day[0]])


if __name__ == "__main__":
    sys.exit(main())
