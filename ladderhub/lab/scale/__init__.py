"""Scale runs: execute a fleet of a given size on one machine, measure it by role, and predict larger sizes.

Real schedulers and a real directory run together with hollow nodes and hollow schedulers, many per process.
`plan` reads the size from a file.  `fleet` starts and stops the processes; `hollow_nodes`,
`hollow_schedulers` and `load` are their main modules.  `measure` reads processes; `slopes` and `budgets`
evaluate the figures.  `run` executes one size, `stages` all of them.
"""
