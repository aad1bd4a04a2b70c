"""What runs on instances: orders, accounts, ends, and the core of it all."""
