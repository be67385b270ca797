#!/usr/bin/env python3
"""Plays days on which instances restart beside workers that leave, many seeds.

    leaving.py --bench PROGRAM --site SITE.toml [--count N] [--jobs N] [--why TEXT] [--out DIR]

An instance that starts reads the whole list of workers at any moment of others'
leaving; no peer may miss an end by it. A row a seed, as of play.py.
"""
import pathlib
import random
import sys
import tomllib

import play

MOMENTS_S = (2.0, 32.0)


def day(site, seed):
    """Makes the day of a seed: the troubles at moments of their own."""
    pattern = site["day"][0]
    draw = random.Random(seed)
    at = lambda: round(draw.uniform(*MOMENTS_S), 2)
    plan = [
        {"at": at(), "kind": "roll_term", "how": draw.choice(["", "busy"]), "share": 1.0, "gap_s": 1.0},
        {"at": at(), "kind": "roll_term", "share": 0.6, "gap_s": 1.3},
        {"at": at(), "kind": "release", "share": 0.3, "x": 1.0, "gap_s": 1.0},
        {"at": at(), "kind": "release", "share": 0.3, "x": 1.0, "gap_s": 0.6},
        {"at": at(), "kind": "scale_in", "how": "", "share": 0.13},
        {"at": at(), "kind": "scale_in", "how": "spot", "share": 0.13, "x": 2.0},
    ]
    faults = [
        {"at": at(), "kind": "node_kill", "share": 0.2, "for_s": 2.0},
        {"at": at(), "kind": "platform_compact", "x": 4.0, "for_s": 6.0},
    ]
    told = {
        "name": f"leaving-{seed}",
        "slot": "trouble",
        "seed": seed,
        "one": 0.9,
        "zero": 0.2,
        "plan": sorted(plan, key=lambda entry: entry["at"]),
        "faults": faults,
        "traffic": pattern["traffic"],
    }
    return "\n".join(f"{key} = {play.value(item)}" for key, item in told.items()) + "\n"


def main():
    """Plays a site's days."""
    parser = play.options(__doc__, "restarts beside workers that leave")
    parser.add_argument("--count", type=int, default=40)
    parser.add_argument("--first", type=int, default=1)
    arguments = parser.parse_args()
    site = tomllib.loads(pathlib.Path(arguments.site).read_text())
    seeds = range(arguments.first, arguments.first + arguments.count)
    return play.play_all(arguments, [(f"leaving-{seed}", day(site, seed)) for seed in seeds])


if __name__ == "__main__":
    sys.exit(main())
