"""Tuning of the Python interpreter for the node's process."""

import gc

# A request leaves little cyclic garbage, so young collections can be rare; the
# default of 700 objects starts one every few requests.
YOUNG_THRESHOLD = 20_000
MIDDLE_THRESHOLD = 20
OLD_THRESHOLD = 50


def tune_garbage_collection() -> None:
    """Excludes start-up objects from garbage collection and makes it rarer.

    Call it once, after the listeners are open.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
