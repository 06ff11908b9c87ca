"""A transport for tests that records the written bytes."""

__all__ = ["FakeTransport"]


class FakeTransport:
    """A stand-in for ``asyncio.Transport`` that records writes and closing."""

    def __init__(self):
        self.written = b""
        self.closed = self.aborted = False
        self.unsent = 0
        self.is_paused = False

    def get_extra_info(self, _name):
        return None

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    def abort(self):
        self.closed = self.aborted = True

    def is_closing(self):
        return self.closed

    def get_write_buffer_size(self):
        return self.unsent
