"""Admission, retries and delivery of requests in an entry process."""
