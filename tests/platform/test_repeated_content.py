"""Runs whole gateway processes of which one loses its links to all servers while
its callers ask for the same thing again and again."""

import unittest

from repeated_content_case import RepeatedContentCase


class RepeatedContentTest(RepeatedContentCase):
    def test_serves_a_content_that_others_serve_while_links_hang(self):
        """Guards against an instance that refuses a content because its own
        links were lost under requests with it."""
        self.play("silent", True)

    def test_serves_a_content_that_others_serve_while_links_are_reset(self):
        """Guards against the same with connections that are reset."""
        self.play("reset", True)


if __name__ == "__main__":
    unittest.main()
