"""The sidecar in service, on real sockets. It carries out the steps of the decision engine and decides
nothing."""
