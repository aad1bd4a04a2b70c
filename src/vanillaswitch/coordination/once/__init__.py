"""At-most-once requests: their claims, stored outcomes and claim expiry."""
