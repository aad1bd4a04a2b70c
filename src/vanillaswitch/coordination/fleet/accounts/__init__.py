"""Client accounts: keys, limits on what runs, and shares of full pools."""
