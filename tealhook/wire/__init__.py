"""Wire formats of all messages: with users, workers, the cloud, the state store and other controllers.

This package only defines, encodes and decodes messages; it does no I/O.
"""
