"""The dispatch policy: chooses a worker for each request and decides on retries and rejections (docs/design.md)."""

from .dispatch import DispatchPolicy

__all__ = ["DispatchPolicy"]
