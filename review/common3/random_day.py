"""Prints a random day for the users' bench.

    review/common3/random_day.py SEED [--many]

With `--many`, the day is longer and holds more entries and further variants.
    The
doses are at most those of `fleetbench kinds` and the site files.
"""

import random
import sys

seed, many = int(sys.argv[1]), "--many" in sys.argv
draw = random.Random(seed)


def figure(least, most):
    return round(draw.uniform(least, most), 2)


def one_of(*variants):
    return draw.choice(variants)


FAULTS = [
    lambda: dict(kind="srv_crash", how=one_of("", "dark", "across",
        "dark across", "gone"), share=0.15, for_s=figure(2, 5)),
    lambda: dict(kind="srv_grey", how=one_of("errors", "shed", "busy", "hang",
        "reset", "mute", "slow"), share=0.15, x=0.4, for_s=figure(3, 6)),
    lambda: dict(kind="answer_lost", how=one_of("", "reset"), share=0.5, x=0.05,
        for_s=figure(3, 5)),
    lambda: dict(kind="garble", how=one_of("", "extra", "extra late",
        "unframed", "early"), share=0.5, x=0.02, for_s=figure(3, 5)),
    lambda: dict(kind="replace_with_reuse", how=one_of("", "drain", "dark"),
        share=0.15),
    lambda: dict(kind="node_kill", on="core", count=1, for_s=figure(1, 3),
        how=one_of("", "power", "seed", "leader race drain", "meet drain")),
    lambda: dict(kind="node_freeze", on="core", count=1, for_s=figure(1, 4),
        how=one_of("", "reader", "meet", "race")),
    lambda: dict(kind="node_slow", share=0.15, x=5, for_s=figure(2, 5)),
    lambda: dict(kind="herd_kill", share=0.55, for_s=2.0, how=one_of("",
        "power"), on="core"),
    (lambda: dict(kind="core_cut", count=1, for_s=figure(2, 5.5), how=one_of("",
        "reset", "reader meet", "leader race", "all", "near", "seeds", "lure",
        "relieve", "both", "one_way", "split", "behind", "all meet",
        "near refuse"))) if many else
    (lambda: dict(kind="core_cut", count=1, for_s=figure(2, 5.5), how=one_of("",
        "reset", "reader meet", "leader race"))),
    (lambda: dict(kind="node_cut", share=0.17, for_s=figure(2, 5.5),
        how=one_of("", "all", "meet", "servers", "all meet race",
        "servers reborn", "reset", "refuse", "all drain hard"))) if many else
    (lambda: dict(kind="node_cut", share=0.17, for_s=figure(2, 5.5),
        how=one_of("", "all", "meet", "servers"))),
    lambda: dict(kind="platform_down", for_s=figure(2, 4.5),
        how=one_of("silent", "busy", "reset", "silent lapse", "reset lapse",
        "busy lapse")),
    lambda: dict(kind="platform_down", how="nodes busy revoke meet", share=0.33,
        for_s=figure(4, 9)),
    lambda: dict(kind="platform_slow", x=50, for_s=figure(2, 4.5)),
    lambda: dict(kind="platform_compact", x=3.0, for_s=figure(6, 12),
        how=one_of("", "drain")),
    lambda: dict(kind="reset_conns", share=0.1, x=0.5),
    lambda: dict(kind="zone_loss", for_s=figure(2, 4)),
    lambda: dict(kind="zone_cut", for_s=figure(2, 4)),
    lambda: dict(kind="cold_return", for_s=figure(2, 4), how=one_of("",
        "dark")),
    lambda: dict(kind="clock_step", share=0.3, x=2000.0, for_s=figure(3, 6),
        how=one_of("back", "ahead")),
    lambda: dict(kind="give_up", share=0.2, for_s=figure(3, 5)),
    lambda: dict(kind="retry_abuse", share=0.3, x=3.0, for_s=figure(3, 5)),
    *([lambda: dict(kind="platform_down", how=one_of("nodes busy",
        "nodes many revoke", "nodes reset leader", "nodes revoke race"),
        share=0.35, for_s=figure(4, 9))] if many else []),
    *([lambda: dict(kind="srv_grey", how=one_of("mute", "hang", "shed",
        "errors")+" one_zone", share=0.15, x=0.4, for_s=figure(3, 6))] if many
        else []),
    *([lambda: dict(kind="srv_crash", how=one_of("domain", "all dark",
        "across gone"), share=0.15, for_s=figure(2, 4.5))] if many else []),
    lambda: dict(kind="burst", x=2.0, for_s=figure(2, 4)),
    lambda: dict(kind="lossy", x=0.02, for_s=figure(3, 5)),
]
PLANS = [
    lambda: dict(kind="roll_term", share=figure(.4, 1), x=1.0, gap_s=figure(.8,
        2), how=one_of("", "busy", "leader")),
    lambda: dict(kind="config_change", how=one_of("route", "weights", "timeout",
        "idle")),
    lambda: dict(kind="config_storm", for_s=figure(2, 4), gap_s=figure(.1,
        .33)),
    lambda: dict(kind="reshard", x=3.0),
    lambda: dict(kind="release", share=0.45, x=1.0, gap_s=1.0),
    (lambda: dict(kind="scale_in", share=0.13, how=one_of("", "spot"))) if many
        else
    (lambda: dict(kind="scale_in", share=0.13)),
    lambda: dict(kind="scale_out", share=0.25, gap_s=2.0),
    lambda: dict(kind="hup", share=0.3, gap_s=1.0),
    lambda: dict(kind="evacuate", for_s=figure(6, 10), how=one_of("", "warm")),
    lambda: dict(kind="big_config", count=300),
]


def pick(table, count):
    together, begin = draw.choice((False, False, True)), figure(4, 20)
    entries = []
    for make in draw.sample(table, count):
        entry = make()
        entry["at"] = (round(begin + figure(0, 3), 2) if together
                       else figure(2, 50 if many else 26))
        entries.append(entry)
    return entries


def write(name, entries):
    print("%s = [" % name)
    for entry in entries:
        print("  { %s }," % ", ".join(
            "%s = %s" % (key, '"%s"' % value if isinstance(value, str)
                         else value) for key, value in entry.items()))
    print("]")


print('name = "mix-%d"\nlength_s = %s' % (seed, 60.0 if many else 36.0))
write("plan", pick(PLANS, draw.randint(*((4, 7) if many else (2, 4)))))
write("faults", pick(FAULTS, draw.randint(*((6, 12) if many else (2, 5)))))
print('closing = { kind = "%s", down_s = 1.0 }' % one_of(
    "power_off_all", "kill_all"))
