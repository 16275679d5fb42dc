"""Which tasks ran on backend servers that crashed, and what follows for them."""
