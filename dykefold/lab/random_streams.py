"""Random streams of the laboratory: one for each component, by name (numpy's SeedSequence).

A new component does not change the draws of the others, so that two variants of an experiment see the same
arrivals and the same work.
"""

from __future__ import annotations

import numpy as np


def generator(seed: int, *names: int | str) -> np.random.Generator:
    """Return the random generator of a component.

    Args:
        seed: Seed of the scenario.
        names: Name of the component; the same seed and name give the same draws.
    """
    key = [name if isinstance(name, int) else int.from_bytes(name.encode(), "little") for name in names]
    return np.random.default_rng(np.random.SeedSequence([seed, *key]))
