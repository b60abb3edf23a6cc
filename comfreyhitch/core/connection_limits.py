"""Limits on the connections that others open to a daemon, from the descriptors of its machine."""

import resource
from dataclasses import dataclass

# Descriptors that are left for files.
FILE_DESCRIPTORS = 200
# Parts of the other descriptors for connections that callers, other daemons, and each of the
# servers for the platform and operators accept. The rest is for connections that the daemon opens.
CALLER_SHARE = 0.4
PEER_SHARE = 0.2
CONTROL_SHARE = 0.02
MIN_CONNECTIONS = 8
# Taken for the limit of a machine and a process that set none.
MAX_DESCRIPTORS = 1_000_000
# Part of the memory of a daemon for what the kernel receives for its callers' connections.
CALLER_MEMORY_SHARE = 0.25
BYTES_PER_MEGABYTE = 1_000_000


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Hold how many connections may be open to each of a daemon's servers."""

    callers: int
    peers: int
    control: int

    @classmethod
    def from_machine(
        cls,
        descriptors: int | None,
        memory_megabytes: float | None,
        bytes_per_caller: int,
    ) -> "ConnectionLimits":
        """Return the limits for a daemon with these descriptors and this memory.

        Without a number of descriptors, the limit of the process is used. `bytes_per_caller` is
        how much memory the kernel may use for a connection of a caller.
        """
        process_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if process_limit == resource.RLIM_INFINITY:
            process_limit = MAX_DESCRIPTORS
        sockets = max(0, min(descriptors or MAX_DESCRIPTORS, process_limit) - FILE_DESCRIPTORS)
        callers = CALLER_SHARE * sockets
        if memory_megabytes is not None:
            caller_memory = CALLER_MEMORY_SHARE * memory_megabytes * BYTES_PER_MEGABYTE
            callers = min(callers, caller_memory / bytes_per_caller)
        return cls(
            callers=max(MIN_CONNECTIONS, int(callers)),
            peers=max(MIN_CONNECTIONS, int(PEER_SHARE * sockets)),
            control=max(MIN_CONNECTIONS, int(CONTROL_SHARE * sockets)),
        )
