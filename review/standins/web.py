"""HTTP/1.1 on loopback with MessagePack bodies: a small server for the stand-ins, and a client."""
import http.client
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit

from . import msgpack

LOOPBACK = "127.0.0.1"


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


class Dropped(Exception):
    """Raised by a handler that gives no answer: the connection is closed."""


def serve(handle):
    """Serves `handle(method, path, query, body, raw_size) -> (status, value)` on a free port of loopback."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_):
            pass

        def answer(self):
            length = int(self.headers.get("Content-Length") or 0)
            raw = self.rfile.read(length) if length else b""
            try:
                body = msgpack.unpack(raw) if raw else None
            except Exception:
                body = ValueError
            url = urlsplit(self.path)
            query = dict(parse_qsl(url.query, keep_blank_values=True))
            try:
                status, value = handle(self.command, url.path, query, body, length)
            except Dropped:
                self.close_connection = True
                return
            data = msgpack.pack(value)
            self.send_response_only(status)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = do_DELETE = do_PUT = answer

    server = _Server((LOOPBACK, 0), Handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    return server, "%s:%d" % (LOOPBACK, server.server_address[1])


class Connection:
    """A connection that stays open between requests, like a worker's or a user's."""

    def __init__(self, address, timeout):
        host, port = address.rsplit(":", 1)
        self.http = http.client.HTTPConnection(host, int(port), timeout=timeout)

    def call(self, method, path, body=None):
        """Returns (status, headers, value). Raises OSError or HTTPException without an answer."""
        data = msgpack.pack(body) if body is not None else None
        if self.http.sock is None:
            self.http.connect()
            self.http.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.http.request(method, path, data, {"Content-Type": "application/msgpack"} if data else {})
        response = self.http.getresponse()
        raw = response.read()
        try:
            value = msgpack.unpack(raw) if raw else None
        except Exception:
            value = None
        return response.status, response.headers, value

    def close(self):
        self.http.close()


def call_once(address, method, path, body=None, timeout=5.0):
    """One request on a connection of its own. Status 0: no answer."""
    connection = Connection(address, timeout)
    try:
        return connection.call(method, path, body)
    except (OSError, http.client.HTTPException):
        return 0, {}, None
    finally:
        connection.close()


def free_ports(count):
    """Ports of loopback that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind((LOOPBACK, 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports
