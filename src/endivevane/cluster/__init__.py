"""Messages between daemons and the task that owns them."""
