"""A transport that keeps what is written."""

__all__ = ["FakeTransport"]


class FakeTransport:
    """Keeps what was written."""

    def __init__(self):
        self.written = b""
        self.closed = self.aborted = False
        self.unsent = 0

    def get_extra_info(self, _name):
        return None

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
