"""Check of the operator's configuration of the daemons before it is submitted."""
