"""Open-loop load generator: requests are sent on schedule, without waiting for earlier answers."""
