"""Numbers and names of the batch interface, in one table for each kind.

Sources: POSIX.1-2008, Shell and Utilities, chapter 3 (batch environment services: states, attributes, exit
status), and the published PBS batch interface (`libpbs.h`, `pbs_ifl.h`, `pbs_error.h` of OpenPBS).  No copy
of these headers was available: the numbers below were written from memory and **not checked against a
source**; those in UNSURE are the least certain.
"""

from __future__ import annotations

PROTOCOL, VERSIONS, VERSION = 2, (1, 2), 2

# --- requests (libpbs.h, PBS_BATCH_*) -------------------------------------------------------------------
CONNECT, QUEUE_JOB, JOB_SCRIPT, READY_TO_COMMIT, COMMIT, DELETE_JOB, HOLD_JOB = 0, 1, 3, 4, 5, 6, 7
LOCATE_JOB, MANAGER, MESSAGE_JOB, MODIFY_JOB, RELEASE_JOB = 8, 9, 10, 11, 13
SELECT_JOBS, SHUTDOWN, SIGNAL_JOB, STATUS_JOB, STATUS_QUEUE, STATUS_SERVER = 16, 17, 18, 19, 20, 21
JOB_OBIT, STATUS_NODE, DISCONNECT = 56, 58, 59
REQUESTS = {
    CONNECT: "Connect", QUEUE_JOB: "QueueJob", JOB_SCRIPT: "JobScript", READY_TO_COMMIT: "ReadyToCommit",
    COMMIT: "Commit", DELETE_JOB: "DeleteJob", HOLD_JOB: "HoldJob", LOCATE_JOB: "LocateJob",
    MANAGER: "Manager", MESSAGE_JOB: "MessageJob", MODIFY_JOB: "ModifyJob", RELEASE_JOB: "ReleaseJob",
    SELECT_JOBS: "SelectJobs", SHUTDOWN: "Shutdown", SIGNAL_JOB: "SignalJob", STATUS_JOB: "StatusJob",
    STATUS_QUEUE: "StatusQueue", STATUS_SERVER: "StatusServer", JOB_OBIT: "JobObit",
    STATUS_NODE: "StatusNode", DISCONNECT: "Disconnect",
}  # fmt: skip

# --- replies (BATCH_REPLY_CHOICE_*) ---------------------------------------------------------------------
R_NULL, R_QUEUE, R_READY, R_COMMIT, R_SELECT, R_STATUS, R_TEXT, R_LOCATE = 1, 2, 3, 4, 5, 6, 7, 8

# --- Manager commands, objects, attribute operators (pbs_ifl.h) -------------------------------------------
CMD_CREATE, CMD_DELETE, CMD_SET, CMD_UNSET, CMD_LIST = 0, 1, 2, 3, 4
OBJ_SERVER, OBJ_QUEUE, OBJ_JOB, OBJ_NODE = 0, 1, 2, 3
NODE_USER_PREFIX = "node@"  # nodes send requests as this prefix and their name
OBJ_SERVICE = 50  # not published; an extension for services (sets of copies)
OBJ_POLICY = 51  # not published; an extension for the configuration of the fleet
OP_SET, OP_UNSET, OP_INCR, OP_DECR, OP_EQ, OP_NE, OP_GE, OP_GT, OP_LE, OP_LT = range(10)
OPERATORS = {"eq": OP_EQ, "ne": OP_NE, "ge": OP_GE, "gt": OP_GT, "le": OP_LE, "lt": OP_LT}
MSG_OUT, MSG_ERR = 1, 2

# --- error codes (pbs_error.h, PBSE_*) --------------------------------------------------------------------
UNKNOWN_JOB, NO_ATTRIBUTE, READ_ONLY, INVALID_REQUEST, UNKNOWN_REQUEST = 15001, 15002, 15003, 15004, 15005
PERMISSION, BAD_HOST, JOB_EXISTS, SYSTEM, INTERNAL = 15007, 15008, 15009, 15010, 15011
BAD_ATTRIBUTE_VALUE, MODIFY_RUNNING, BAD_STATE, UNKNOWN_QUEUE = 15014, 15015, 15018, 15020
BAD_CREDENTIAL, EXPIRED, QUEUE_NOT_ENABLED, ROUTE_REJECTED, PROTOCOL_ERROR = 15021, 15022, 15024, 15030, 15033
UNKNOWN_RESOURCE, BAD_RESOURCE_VALUE, EXCEEDS_QUEUE = 15035, 15036, 15036
NO_SERVER, NODE_REJECTED, NODE_DOWN = 15034, 15061, 15062
UNKNOWN_NODE, BAD_SCRIPT, SERVER_BUSY = 15062, 15031, 15090
# Codes whose published number is uncertain.  Clients and servers of ladderhub agree on them.
UNSURE = ("NODE_REJECTED", "NODE_DOWN", "UNKNOWN_NODE", "BAD_SCRIPT", "SERVER_BUSY", "NO_SERVER")
ERRORS = {
    UNKNOWN_JOB: "Unknown Job Id", NO_ATTRIBUTE: "Undefined Attribute", READ_ONLY: "Read only attribute",
    INVALID_REQUEST: "Invalid request", UNKNOWN_REQUEST: "Unknown request",
    PERMISSION: "Unauthorized Request",
    JOB_EXISTS: "Job already exists", SYSTEM: "System error", INTERNAL: "Internal error",
    BAD_ATTRIBUTE_VALUE: "Illegal attribute or resource value", MODIFY_RUNNING: "Cannot modify running job",
    BAD_STATE: "Request invalid for state of job", UNKNOWN_QUEUE: "Unknown queue",
    QUEUE_NOT_ENABLED: "Queue is not enabled", PROTOCOL_ERROR: "Protocol error",
    UNKNOWN_RESOURCE: "Unknown resource",
    BAD_RESOURCE_VALUE: "Job violates queue and/or server resource limits",
    NODE_REJECTED: "Execution server rejected request", NODE_DOWN: "Unknown node",
    BAD_SCRIPT: "Job script is missing or too long", SERVER_BUSY: "Server is too busy",
}  # fmt: skip

# Why a node refused an offer.  The text of its reply begins with the code: "CODE text".
REFUSALS = {"CORES": 1, "MEMORY": 2, "LINE_FULL": 3, "NOT_HERE": 4}
# How an attempt ended: `exit_reason` in a node's Job Obit.  PBS has negative exit statuses for such ends.
END_DONE, END_EVICTED, END_DISPLACED, END_SENT_AWAY, END_KILLED = (
    "done",
    "evicted",
    "displaced",
    "sent_away",
    "killed",
)
JOB_EXEC_RETRY, JOB_EXEC_KILLED_WALLTIME = -3, -29  # the published numbers are uncertain

# --- job states (POSIX 3.2.2.1: E exiting, H held, Q queued, R running, T transiting, W waiting; F: OpenPBS)
STATES = "EHQRTWF"
MAX_SCRIPT_BYTES = 4 * 1024 * 1024
