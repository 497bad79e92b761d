"""Laboratory: runs experiments on the emulator, stores, reports and compares their results, and generates load."""
