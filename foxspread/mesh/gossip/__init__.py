"""Membership and state dissemination by gossip: partial views, connections to peers, anti-entropy."""
