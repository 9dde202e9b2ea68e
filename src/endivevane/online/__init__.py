"""Online requests: HTTP front end, admission, routing and streams."""
