"""The HTTP interface: routes, authentication and errors."""
