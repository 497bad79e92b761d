"""The decisions on workers: which one gets a request, whether it is retried, what is rejected (docs/design.md)."""

from .dispatch import DispatchPolicy

__all__ = ["DispatchPolicy"]
