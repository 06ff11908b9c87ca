"""Tests of the encoding of messages on quotas."""

import unittest

from ...tenants import QuotaAsk, QuotaGrant, QuotaReply, QuotaReport
from ..quota_codec import (
    decode_quota_reply,
    decode_quota_report,
    encode_quota_reply,
    encode_quota_report,
)


class QuotaCodecTest(unittest.TestCase):
    """Guards against values that are lost or misread on the way to another node."""

    def test_report(self):
        report = QuotaReport({"press": -200.0}, (QuotaAsk(7, "press", 9250.0, 0.1),))
        self.assertEqual(decode_quota_report(encode_quota_report(report)).ok_value, report)

    def test_times_are_relative(self):
        """Guards against the use of another host's clock."""
        grants = (QuotaGrant(7, 10.5, 11.0), QuotaGrant(8, None, 11.0), QuotaGrant(9, None, None))
        body = encode_quota_reply(QuotaReply(grants, {"press": False}), 10.0)
        reply = decode_quota_reply(body, 50.0).ok_value
        self.assertEqual(reply.is_open, {"press": False})
        expected = (QuotaGrant(7, 50.5, 51.0), QuotaGrant(8, None, 51.0), QuotaGrant(9, None, None))
        self.assertEqual(reply.grants, expected)

    def test_malformed(self):
        """Guards against an error that ends the link instead of a message that is not used."""
        for body in (None, {}, {"spent": 1, "asks": []}, {"grants": [[1]], "open": {}}):
            self.assertTrue(decode_quota_report(body).is_err())
            self.assertTrue(decode_quota_reply(body, 0.0).is_err())


if __name__ == "__main__":
    unittest.main()
