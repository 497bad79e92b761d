"""badgerroad: a dispatcher that pushes render jobs to issuer hosts, round the decisions of heathcrank."""

__version__ = "0.1.0"
