"""Several members of a fleet together, and what befalls them: in virtual time, and as real processes."""
