"""Evacuation of data centres: nothing starts in an evacuated data centre."""
