"""Quotas shared by all dispatchers of an installation. One controller per zone leases them out; see docs/fleet.md."""
