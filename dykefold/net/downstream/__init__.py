"""Client connections: requests are read from them and responses written to them."""
