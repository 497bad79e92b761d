"""The laboratory: experiments on the emulator, their results, reports and comparisons; and a load generator."""
