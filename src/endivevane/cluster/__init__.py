"""Messages between daemons and the tasks that exchange them."""
