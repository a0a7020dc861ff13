"""Plays random crashing requests briefly, on seeds that have failed."""

import pathlib
import subprocess
import sys
import unittest

PLAYS = pathlib.Path(__file__).parents[2] / "bench/crash_plays.py"
# Seeds of past failures: sends past the bound at d145dc4. Each takes 30 s.
REGRESSIONS = {2: 15, 3: 20, 9: 17}


class CrashPlaysTest(unittest.TestCase):
    def test_keeps_the_bound_on_seeds_that_have_failed(self):
        """Guards against sends of a content that has crashed three servers."""
        for seed in REGRESSIONS:
            result = subprocess.run(
                [sys.executable, "-B", str(PLAYS), "--seed", str(seed)],
                text=True, capture_output=True, timeout=90)
            self.assertEqual(0, result.returncode,
                             result.stdout + result.stderr)


if __name__ == "__main__":
    unittest.main()
