"""Simulation of a fleet that runs the daemons' decision code on a simulated clock."""
