"""Several services in one process: which pool a request belongs to, and what each pool may use."""
