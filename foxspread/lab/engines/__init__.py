"""What plays a scenario: in virtual time, or against real sidecars."""
