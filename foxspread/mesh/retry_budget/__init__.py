"""The retry budget: bounds how many attempts a service gets beyond the first of each request. No I/O."""
