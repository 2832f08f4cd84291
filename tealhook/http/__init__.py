"""HTTP/1.1 on the event loop: an incremental parser, a client and a server."""

from tealhook.http.client import HttpClient
from tealhook.http.parser import HttpError, MessageParser, Request, Response
from tealhook.http.server import HttpServer, Reply, RequestHandler

__all__ = ["HttpClient", "HttpError", "HttpServer", "MessageParser", "Reply", "Request", "RequestHandler", "Response"]
