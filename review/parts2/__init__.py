"""Small stand-ins for the cases 6 to 10, written from the users' pages alone."""
