"""The scale run: a fleet of a stated size on one machine, its figures by role, and what they predict.

Real schedulers and a real directory stand beside hollow nodes and hollow schedulers, many to a process.
`plan` reads the size from a file; `fleet` starts and ends processes; `hollow_nodes`, `hollow_schedulers` and
`load` are those processes; `measure` reads them; `slopes` and `budgets` are arithmetic; `run` plays one size,
`stages` all.
"""
