"""The scheduler daemon: sockets, jobs and settings around the decisions.

Passes events to `decide` and `owner` and executes the actions they return; makes no decisions itself.
Imports `loop`, `usage`, `pbs`, `owner`, `directory.wire`, `decide` and `interface`; must not import `node`,
`lab`, `commands`.

Each module has one concern and imports only modules listed above it:

    spool, jobs, metrics, settings/    durable files, state of jobs, counters, checked settings
    usagemetrics                       processor time and traffic of the process, as metrics
    offer, nodelinks, runs, nodelist   steps of an offer, connections to nodes, open runs, the directory
    context                            state that all modules share, and the `Component` protocol
    placing, runcontrol, ownerexecutor    execute the decisions of both modules; reports of nodes on runs
    peers                              membership and leases, if the settings name peers
    revisions                          revisions of the configuration, if some of the peers vote
    intake, nodetracker                submitted jobs; the node list and adoption of running jobs
    kept_names                         queues and kinds of an earlier policy, kept over a restart
    clientlistener                     client connections and the table of request handlers
    submitting, jobrequests, status, operatorrequests, policyrequests    the request handlers
    daemon                             builds the components; start and clean stop
"""
