"""Fault soak: real routers, stand-ins as processes, faults from outside, promises."""
