"""Online requests: HTTP front end, admission, routing and streaming."""
