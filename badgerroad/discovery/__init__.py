"""Discovery: where the dispatcher obtains its list of workers."""
