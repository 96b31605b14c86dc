"""A fake of an entry's operator API, served on the loopback interface."""

import json
import threading
from contextlib import contextmanager
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"


@dataclass
class FakeEntry:
    """Prepared replies by method and path; other calls get a 404 problem."""

    url: str = ""
    #: Queues of replies by ``METHOD /path``; the last reply of each is repeated.
    replies_by_call: dict = field(default_factory=dict)
    #: (call, document, headers) of each request.
    seen: list = field(default_factory=list)

    def reply(self, call, status, document, media_type=JSON_TYPE):
        body = json.dumps(document).encode()
        self.reply_bytes(call, status, body, media_type)

    def reply_bytes(self, call, status, body, media_type=JSON_TYPE):
        self.replies_by_call.setdefault(call, []).append((status, body, media_type))

    def lose(self, call):
        """Make a call close its connection without an answer."""
        self.replies_by_call.setdefault(call, []).append(None)

    def next_reply(self, call):
        replies = self.replies_by_call.get(call)
        if not replies:
            document = {"title": "refused", "reason": "not-found", "executed": "no"}
            return 404, json.dumps(document).encode(), PROBLEM_TYPE
        return replies.pop(0) if len(replies) > 1 else replies[0]


@contextmanager
def open_entry():
    """Yield a `FakeEntry` that listens on the loopback interface."""
    entry = FakeEntry()

    class Handler(BaseHTTPRequestHandler):
        def serve(self):
            size = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(size)
            call = f"{self.command} {self.path}"
            document = json.loads(body) if body else None
            entry.seen.append((call, document, dict(self.headers)))
            reply = entry.next_reply(call)
            if reply is None:
                return
            status, body, media_type = reply
            self.send_response(status)
            self.send_header("Content-Type", media_type)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        do_GET = do_POST = do_DELETE = serve  # noqa: N815

        def log_message(self, *args):
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    entry.url = f"http://127.0.0.1:{server.server_port}"
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield entry
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
