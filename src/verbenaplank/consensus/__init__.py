"""The replicated log of the control instances.

The decisions are a state without I/O: :class:`~.core.Core` turns an event and
a monotonic time into effects.  :class:`~.node.ConsensusNode` carries them out
with files, streams and a state machine.
"""

from __future__ import annotations
