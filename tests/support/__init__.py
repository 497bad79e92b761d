"""Test helpers: scripted peers on loopback, a driver of the policy, a service of several processes."""
