"""A second copy of a refusal makes a request run twice.

Clients reserve bales in bursts that the two servers of a service can't hold at
once, so that a few reservations are refused (503 with Not-Executed) and sent
once more. One server of each service is faulty: of a few of its answers, a
second copy comes late, where the next answer on the connection is expected.
"""

import collections
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common2"))
import stage  # noqa: E402

DURATION_S = 104.0
BURST_INTERVAL_S = 0.6
BURST_SIZE = 7
SERVICES = 10
WORK_S = (0.03, 0.12)
# `garble` "extra late" of the site file: 0.04 of the answers, for 5 s. It comes
# again after a pause of 3 s.
COPIED_SHARE = 0.04
SPELL_S = 5.0
SPELL_INTERVAL_S = 8.0


def play(trouble, record):
    rng = random.Random(6)
    names = ["order-book-%d" % n for n in range(SERVICES)]
    with stage.Stage(record, 2,
                     [stage.route(it, "/%s/" % it, "unsafe", it,
                                  timeout_ms=8000) for it in names],
                     [stage.service(it) for it in names]) as it:
        servers = [it.add_server("i-%s-%d" % (name, n), name, stage.ZONES[n],
                                 slots=2, queue=1,
                                 work_s=lambda: rng.uniform(*WORK_S))
                   for name in names for n in range(2)]
        held = {}  # Second copies by connection.

        def keep_copy(handler, answer, status):
            with it.lock:
                is_copied = (rng.random() < COPIED_SHARE and
                             time.monotonic() % SPELL_INTERVAL_S < SPELL_S)
            if trouble and is_copied:
                held[handler] = answer

        def send_copy(handler, ident):
            """Sends the copy where the next answer is expected."""
            answer = held.pop(handler, None)
            if answer:
                record.add("copy", status=answer[0],
                           id=answer[1]["Request-Id"], during=ident)
                handler.reply(*answer)

        for server in servers[::2]:
            server.after_answer = keep_copy
            server.turn_away = send_copy
        it.start()
        end = time.monotonic() + DURATION_S
        while time.monotonic() < end:
            for name in names:
                for n in range(BURST_SIZE):
                    threading.Thread(target=it.call, daemon=True, args=(
                        it.gateways[n % 2], "POST", "/%s/2f" % name, 8000,
                        b"bale")).start()
                time.sleep(BURST_INTERVAL_S / SERVICES)
        time.sleep(3)
    return findings(record)


def findings(record):
    """TWICE and REFUSED, as RULES.md has them."""
    runs = collections.Counter(it["id"] for it in record.of("run"))
    found = ["TWICE: %s ran %d times" % (ident, count)
             for ident, count in runs.items() if count > 1]
    found += ["REFUSED: %s was answered %d and ran" % (it["id"], it["status"])
              for it in record.of("answer")
              if it["status"] in (408, 421, 429, 503) and runs[it["id"]]]
    return found


stage.main(__file__, play)
