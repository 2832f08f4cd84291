"""Controller-to-controller messages: calls, replies and gossip."""

from tealhook.mesh.mesh import Mesh

__all__ = ["Mesh"]
