"""The scheduler daemon: sockets, jobs and settings around the decisions.

Tells `decide` and `owner` what happened and carries out what they say; decides nothing of its own.  Imports
`loop`, `usage`, `pbs`, `owner`, `directory.wire`, `decide` and `interface`; must not import `node`, `lab`,
`commands`.

One room for one concern, each importing only those above it:

    jobs, board, metrics, settings/    state, the queue of events, counters, checked settings
    usagemetrics                       what the process spends, on the page of metrics
    offer, nodelinks, runs, nodelist   one offer's steps, connections to nodes, what is out, the directory
    context                               what all rooms share, and `Part`: what lives as long as the daemon
    placing, runcontrol, ownerexecutor   carry out the two decision modules; what nodes say of runs
    peers                              the other schedulers, where the settings name peers
    revisions                          the configuration as revisions, where some of the peers vote
    intake, nodetracker                jobs from people; the node list and adoption
    kept_names                         queues and kinds that the file has not, over a restart
    door                               client connections, and the table of requests that rooms join
    submitting, jobrequests, status, operating, policyrequests    what each request does
    daemon                             puts the rooms together; start and clean stop
"""
