"""Runs whole gateway processes of which one has each of its requests to servers
reset while its callers ask for the same thing again and again."""

import unittest

from repeated_content_case import RepeatedContentCase


class AbortedRepeatedContentTest(RepeatedContentCase):
    def test_serves_a_content_that_others_serve_while_requests_are_reset(self):
        """Guards against an instance that refuses a content because requests
        with it were lost, where each retry is lost at once."""
        self.play("abort", True)

    def test_serves_a_content_that_only_its_callers_ask_for(self):
        """Guards against helpers that believe an instance without servers and
        refuse a content which they have never tried."""
        self.play("abort", False)


if __name__ == "__main__":
    unittest.main()
