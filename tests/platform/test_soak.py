"""A short seeded soak, and each fault put in on purpose."""

import pathlib
import subprocess
import sys
import unittest

SOAK = pathlib.Path(__file__).parents[2] / "bench/soak.py"
# Seeds that have failed: instances, and the cause. Each runs for 15 s.
FORGOTTEN = "reads met idle connections that both servers had dropped"
REGRESSIONS = {
    2003: (5, FORGOTTEN), 2013: (5, FORGOTTEN), 2018: (5, FORGOTTEN),
    2020: (5, FORGOTTEN), 3008: (3, FORGOTTEN), 3011: (3, FORGOTTEN),
    3020: (3, FORGOTTEN), 3022: (3, FORGOTTEN),
}
# One for each cause; `for` over REGRESSIONS by hand plays the others.
PLAYED = (2003, 3008)
FAULTS = ("twice", "refused", "mixed", "coverage", "other", "path", "drain")


def run(*options):
    return subprocess.run([sys.executable, "-B", str(SOAK), *options],
                          text=True, capture_output=True, timeout=120)


class SoakTest(unittest.TestCase):
    def test_keeps_the_promises(self):
        """Guards against promises that break under faults from outside."""
        result = run("--seed", "1", "--seconds", "8")
        self.assertEqual(0, result.returncode, result.stdout + result.stderr)

    def test_keeps_the_promises_on_seeds_that_have_failed(self):
        """Guards against the return of a fault that a soak has found."""
        for seed in PLAYED:
            instances, cause = REGRESSIONS[seed]
            result = run("--seed", str(seed), "--seconds", "15",
                         "--instances", str(instances))
            self.assertEqual(0, result.returncode,
                             "%d (%s): %s" % (seed, cause, result.stdout))

    def test_finds_each_put_in_fault(self):
        """Guards against a soak that can't fail."""
        for fault in FAULTS:
            result = run("--seed", "3", "--seconds", "3", "--bite", fault)
            self.assertEqual(1, result.returncode, fault + result.stderr)
            self.assertIn("VIOLATION", result.stdout, fault)


if __name__ == "__main__":
    unittest.main()
