"""Messages between the system's own processes.

Every message is a frozen ``attrs`` class.  A message that travels on a stream
is an envelope whose fields are tuples of what was ready at the time, so one
write carries many items.  Fields are only ever added, and each new field has a
default, so that two neighbouring releases understand each other.
"""

from __future__ import annotations
