"""Messages between controllers: one-way messages such as gossip, and calls with replies."""

from tealhook.mesh.mesh import Mesh, MessageHandler, MessageReply

__all__ = ["Mesh", "MessageHandler", "MessageReply"]
