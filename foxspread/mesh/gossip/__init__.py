"""Which processes there are and who lacks which state: partial views, connections, anti-entropy."""
