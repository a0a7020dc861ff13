"""Prints a random day of the troubles that a site file of the users' bench lists.

    review/common3/site_day.py SITE.toml SEED

Doses are those of the site file, some of them lowered.
"""

import random
import sys
import tomllib

PLANNED = {"big_config", "config_change", "config_storm", "release", "reshard",
           "roll_term", "scale_in", "scale_out", "hup", "evacuate", "add_nodes"}

with open(sys.argv[1], "rb") as site_file:
    troubles = tomllib.load(site_file)["troubles"]
seed = sys.argv[2]
draw = random.Random(int(seed))
entries = {"plan": [], "faults": []}
together, begin = draw.choice((False, False, True)), draw.uniform(4, 25)
for it in draw.sample(troubles, min(len(troubles), draw.randint(8, 16))):
    entry = dict(it)
    for key in ("x", "for_s", "share"):
        if key in entry and draw.random() < .3:
            entry[key] = round(entry[key] * draw.uniform(.5, 1), 2)
    entry["at"] = round(begin + draw.uniform(0, 4) if together
                        else draw.uniform(1, 45), 2)
    entries["plan" if entry["kind"] in PLANNED else "faults"].append(entry)

print('name = "mix-%s"\nlength_s = 60.0' % seed)
for name, rows in entries.items():
    print("%s = [" % name)
    for entry in rows:
        print("  { %s }," % ", ".join(
            "%s = %s" % (key, '"%s"' % value if isinstance(value, str)
                         else value) for key, value in entry.items()))
    print("]")
print('closing = { kind = "%s", down_s = 1.0 }' % draw.choice(
    ("power_off_all", "kill_all")))
