"""The operators' command-line tool, ``endivevanectl``."""
