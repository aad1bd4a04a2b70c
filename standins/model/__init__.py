"""A model of the users' platform in virtual time, driving the real decisions.

See ``docs/MODEL.md`` for what it leaves out and how well it ranks policies.
"""
