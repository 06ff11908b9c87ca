"""Stand-ins and node processes for the cases of the review, all on loopback."""
