"""What the system's own processes say to each other: netstrings of JSON over TCP. The path of requests is
HTTP."""
