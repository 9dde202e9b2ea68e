"""A model of the fleet: the daemons' own decisions on a simulated clock."""
