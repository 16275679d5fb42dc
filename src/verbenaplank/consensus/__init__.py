"""Raft implementation of the replicated log of the control instances.

:class:`~.core.Core` holds the algorithm without I/O: it turns an event and a
monotonic time into effects. :class:`~.node.ConsensusNode` executes the effects with
files, gRPC streams and a state machine.
"""

from __future__ import annotations
