"""When a request leaves the availability zone or the region of its daemon."""
