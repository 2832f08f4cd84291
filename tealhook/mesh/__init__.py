"""Controller-to-controller messages: calls, replies and gossip."""

from tealhook.mesh.mesh import Mesh, MessageHandler, MessageReply

__all__ = ["Mesh", "MessageHandler", "MessageReply"]
