"""Messages between the processes of a deployment.

Every message is a frozen ``attrs`` class.  Streams carry envelopes, whose
fields are tuples of all items that were ready, so that one write carries many
of them.  Fields are never removed, and each added field has a default, so that
two consecutive releases can talk to each other.
"""

from __future__ import annotations
