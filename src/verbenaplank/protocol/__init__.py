"""Messages between the processes of a deployment.

Every message is a frozen ``attrs`` class. Streams carry envelopes. Their tuple fields
take all items that are ready, so that one write sends many of them. Fields are never
removed, and each added field has a default, so that two consecutive releases can
exchange messages.
"""

from __future__ import annotations
