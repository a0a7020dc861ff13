"""A short seeded soak, and each fault put in on purpose."""

import pathlib
import subprocess
import sys
import unittest

SOAK = pathlib.Path(__file__).parents[2] / "bench/soak.py"
FAULTS = ("twice", "refused", "mixed", "coverage", "other", "path", "drain")


def run(*options):
    return subprocess.run([sys.executable, "-B", str(SOAK), *options],
                          text=True, capture_output=True, timeout=120)


class SoakTest(unittest.TestCase):
    def test_keeps_the_promises(self):
        """Guards against promises that break under faults from outside."""
        result = run("--seed", "1", "--seconds", "8")
        self.assertEqual(0, result.returncode, result.stdout + result.stderr)

    def test_finds_each_put_in_fault(self):
        """Guards against a soak that can't fail."""
        for fault in FAULTS:
            result = run("--seed", "3", "--seconds", "3", "--bite", fault)
            self.assertEqual(1, result.returncode, fault + result.stderr)
            self.assertIn("VIOLATION", result.stdout, fault)


if __name__ == "__main__":
    unittest.main()
