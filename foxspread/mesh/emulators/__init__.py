"""The other side of the mesh, of our own making: an application server, an operator and a client, as the
platform's page describes them. Each keeps a ledger of what it saw, from which rules are judged."""
