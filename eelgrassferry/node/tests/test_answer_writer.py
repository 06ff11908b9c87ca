"""Tests for writing answers to callers."""

import json
import unittest

from ...http import SseParser
from ..answer_writer import AnswerWriter
from ..engine_client import Token
from ..model_call import CallKind, ModelCall

TEXTS = ('"quoted"', "line\nbreak", "ñandú 🚲", "back\\slash", "", '"text": ""', " plain")


class FakeResponder:
    """Records the writes of one response."""

    def __init__(self) -> None:
        self.started = False
        self.writes: list[bytes] = []

    async def start(self, status, headers=(), data=b""):
        self.started = True
        self.writes.append(data)

    async def write(self, data):
        self.writes.append(data)

    async def finish(self, data=b""):
        self.writes.append(data)


def make_call(kind: CallKind, name: str) -> ModelCall:
    return ModelCall("r1", kind, name, "1", "p", 16, True, True, 5.0, "d", b"{}")


class AnswerWriterTest(unittest.IsolatedAsyncioTestCase):
    """Streamed completion and chat answers."""

    async def test_special_characters_are_preserved(self):
        """Guards against invalid events for token texts with special characters.

        Only the token text is encoded for each event; the rest is reused from a template.
        """
        name = 'm"text": "" "content": ""'
        for kind in CallKind:
            out = FakeResponder()
            answer = AnswerWriter(make_call(kind, name), out)
            for index, text in enumerate(TEXTS):
                await answer.write_tokens((Token(index, text, "1"),))
            await answer.finish()
            *events, done = SseParser().feed(b"".join(out.writes))
            self.assertEqual(done, "[DONE]")
            documents = [json.loads(event) for event in events]
            self.assertEqual({d["model"] for d in documents}, {name})
            choices = [d["choices"][0] for d in documents]
            chat = kind is CallKind.CHAT
            texts = [c["delta"]["content"] if chat else c["text"] for c in choices]
            self.assertEqual(texts, [*TEXTS, ""])
            reasons = [c["finish_reason"] for c in choices]
            self.assertEqual(reasons, [None] * len(TEXTS) + ["stop"])

    async def test_tokens_that_arrive_together_are_written_together(self):
        """Guards against separate system calls for the response head and the end of the stream."""
        out = FakeResponder()
        answer = AnswerWriter(make_call(CallKind.COMPLETION, "m1"), out)
        await answer.write_tokens((Token(0, "a", "1"), Token(1, "b", "1")))
        await answer.write_tokens((Token(2, "c", "1"),))
        await answer.finish()
        self.assertEqual(len(out.writes), 3)
        self.assertTrue(all(out.writes))


if __name__ == "__main__":
    unittest.main()
