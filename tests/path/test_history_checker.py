"""Guards against a checker that passes over broken guarantees.

One hand-made good history must pass; one change per guarantee makes it bad and
must be reported under that guarantee.
"""

import copy
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "bench"))
import check_history  # noqa: E402

SECOND = check_history.SECOND


def document(version, state="in"):
    return {
        "version": version,
        "failure_domains": {
            "fd-a": {"region": "r1", "labels": {"state": state}},
            "fd-b": {"region": "r1", "labels": {"state": "in"}}},
        "services": {
            "s0": {"labels": {"group": "g"}, "servers": {
                "s0-a": {"failure_domain": "fd-a", "labels": {}}}},
            "s1": {"labels": {"group": "g"}, "servers": {
                "s1-b": {"failure_domain": "fd-b", "labels": {}}}}},
        "index": {"serving": 1, "versions": {"1": {"shards": {
            "x": {"service": "s0"}, "y": {"service": "s1"}}}}},
        "selectors": [{"name": "n", "callers": "customer in (c, d)",
                       "requests": "kind=search",
                       "targets": "group=g,state!=out"}]}


def config(t, version, state="in"):
    return {"e": "config", "t": t, "version": version,
            "document": document(version, state)}


def request(t, server="s0-a", shard="x", content="q", **fields):
    return {"e": "req", "t0": t, "t1": t + 10, "server": server,
            "fd": "fd-" + server[-1], "shard": shard, "version": 1,
            "kind": "search", "content": content, "running": 1,
            "allowance": 2, "cold": False, "outcome": "ok", **fields}


def query(t, content="q", version=1, address="i0", **fields):
    return {"e": "query", "t0": t, "t1": t + 100, "content": content,
            "unique": True, "customer": "c", "kind": "search", "status": 200,
            "code": 0, "config_version": version, "index_version": 1,
            "ratio": 1.0, "included": ["x", "y"], "missing": [],
            "result_shards": ["x", "y"], "foreign": [], "hit_versions": [1],
            "attempts": [{"address": address, "t0": t, "t1": t + 100,
                          "result": "answered",
                          "code": fields.get("code", 0)}], **fields}


def operation(t, content="op", outcome="ran", result="answered"):
    return {"e": "operation", "t0": t, "t1": t + 100, "content": content,
            "outcome": outcome, "attempts": [
                {"address": "i0", "t0": t, "t1": t + 100, "result": result,
                 "outcome": outcome, "code": 0}]}


def good():
    """A withdrawal and return, a cold start, a drain and a kill."""
    return [
        {"e": "instances", "t": 0, "list": {
            "instances": [{"id": "i0"}, {"id": "i1"}], "servers": []}},
        config(0, 1),
        request(20), request(20, "s1-b", "y"), query(10),
        request(500, content="op", kind="operation"), operation(490),
        config(1 * SECOND, 2, "out"),
        # Within the bound of the withdrawal.
        request(2 * SECOND, content="late"),
        request(6 * SECOND, "s1-b", "y", "part"),
        query(6 * SECOND - 5, "part", 2, code=1, ratio=0.5, included=["y"],
              missing=[["x", 201]], result_shards=["y"]),
        config(8 * SECOND, 3),
        {"e": "state", "t": 8 * SECOND, "server": "s0-a", "fd": "fd-a",
         "state": "cold", "reason": "restart"},
        request(9 * SECOND, content="warm", cold=True, allowance=1),
        request(9 * SECOND, content="shed", cold=True, allowance=1,
                running=2, outcome="shed"),
        query(9 * SECOND, "refused", 3, code=203),
        request(9 * SECOND, content="refused", outcome="shed"),
        {"e": "state", "t": 10 * SECOND, "server": "s1-b", "fd": "fd-b",
         "state": "draining", "reason": "control"},
        request(12 * SECOND, "s1-b", "y", "drain", outcome="draining"),
        {"e": "note", "t": 13 * SECOND, "event": "kill", "instance": "i1",
         "address": "i1"},
        query(13 * SECOND, "cut", None, code=-1, attempts=[
            {"address": "i1", "t0": 13 * SECOND, "t1": 13 * SECOND + 9,
             "result": "cut", "code": -1}]),
        operation(13 * SECOND, "lost", "unknown"),
    ]


class HistoryCheckerTest(unittest.TestCase):

    def check(self, records):
        history = check_history.History(copy.deepcopy(records))
        return {name: found for name, found in
                check_history.check(history).items() if found}

    def expect(self, guarantee, *records):
        found = self.check(good() + list(records))
        self.assertEqual([guarantee], list(found), found)

    def test_good_history_passes(self):
        self.assertEqual({}, self.check(good()))

    def test_p1_mixed_index_versions(self):
        self.expect("P1", request(30, content="m"),
                    request(30, "s1-b", "y", "m"),
                    query(25, "m", hit_versions=[1, 2]))

    def test_p2_included_shard_that_no_server_answered(self):
        self.expect("P2", request(30, content="m"), query(25, "m"))

    def test_p2_shard_left_out(self):
        self.expect("P2", request(30, content="m"), query(
            25, "m", included=["x"], result_shards=["x"]))

    def test_p3_allowance_exceeded(self):
        self.expect("P3", request(9 * SECOND, content="m", cold=True,
                                  allowance=1, running=2))

    def test_p4_request_after_withdrawal(self):
        self.expect("P4", request(4 * SECOND + 1, content="m"))

    def test_p4_counts_from_the_end_of_an_outage(self):
        def fault(t, down):
            return {"e": "fault", "t": t, "down": down, "stale_versions": 0}
        outage = [fault(0, True), fault(2 * SECOND, False)]
        late = request(4 * SECOND + 1, content="m")
        self.assertEqual({}, self.check(good() + outage + [late]))
        self.expect("P4", *outage, request(5 * SECOND + 1, content="m"))

    def test_p5_result_of_another_request(self):
        self.expect("P5", request(30, content="m"),
                    request(30, "s1-b", "y", "m"),
                    query(25, "m", foreign=["x"]))

    def test_p5_result_missing(self):
        self.expect("P5", request(30, content="m"),
                    request(30, "s1-b", "y", "m"),
                    query(25, "m", result_shards=["x"]))

    def test_p6_refused_query_ran(self):
        self.expect("P6", request(30, content="m"), query(25, "m", code=203))

    def test_p6_refused_operation_ran(self):
        self.expect("P6", request(30, content="m", kind="operation"),
                    operation(25, "m", "not_run"))

    def test_p7_operation_ran_twice(self):
        self.expect("P7", request(30, content="m", kind="operation"),
                    request(40, "s1-b", content="m", kind="operation",
                            outcome="crashed"))

    def test_p7_operation_said_to_have_run(self):
        self.expect("P7", operation(25, "m", "ran"))

    def test_p8_request_to_leaving_server(self):
        self.expect("P8", request(13 * SECOND + 1, "s1-b", "y", "m",
                                  outcome="draining"))

    def test_p9_request_cut_off(self):
        cut = query(25, "m", code=-1)
        cut["attempts"][0].update(result="cut", code=-1)
        self.expect("P9", {"e": "note", "t": 20, "event": "stop",
                           "instance": "i0", "address": "i0"}, cut)

    def test_p10_reverted(self):
        at = int(8.5 * SECOND)
        self.expect("P10", query(at, "m", 3, code=203),
                    query(at + 1000, "n", 2, code=203))

    def test_p10_late(self):
        self.expect("P10", query(3 * SECOND + 1, "m", 1, code=203))

    def test_unknown_needs_a_loss(self):
        early = operation(12 * SECOND, "early", "unknown")
        history = check_history.History(good() + [early])
        self.assertEqual(
            ["operation early is unknown without a loss"],
            list(check_history.unexplained_unknown(history)))


class SelectorTest(unittest.TestCase):

    def test_terms(self):
        labels = {"a": "1", "b": "2"}
        for text, expected in (
                ("a=1", True), ("a==1,b=2", True), ("a!=1", False),
                ("c!=1", True), ("a in (0, 1)", True), ("a notin (1)", False),
                ("c notin (1)", True), ("a", True), ("!a", False),
                ("!c", True), ("c", False), ("", True)):
            self.assertEqual(expected, check_history.matches(text, labels),
                             text)


if __name__ == "__main__":
    unittest.main()
