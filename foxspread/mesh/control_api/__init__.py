"""What servers and the operator may call: one handler object a resource (the field's term: control API)."""
