"""Have the allocator of the C library return freed memory to the system."""

import ctypes
import logging

logger = logging.getLogger(__name__)

# Options of mallopt(3).
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# By default the library raises this limit up to 32 MiB when a large buffer is freed. Later buffers
# then come from the heap, which small objects keep from shrinking.
MMAP_THRESHOLD_BYTES = 256 * 1024


def return_freed_buffers() -> None:
    """Have large buffers mapped one by one, so that their memory is returned when they are freed.

    Does nothing where the C library has no such options.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        logger.info("the C library has no mallopt; freed memory may be kept")
        return
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    mallopt(M_TRIM_THRESHOLD, MMAP_THRESHOLD_BYTES)
