"""Random streams of the laboratory: one per component, derived from its name by numpy's SeedSequence.

Adding a component does not change the draws of the others, so that two variants of an experiment get the same
arrivals and service times.
"""

from __future__ import annotations

import numpy as np


def generator(seed: int, *names: int | str) -> np.random.Generator:
    """Return the random generator of a component.

    Args:
        seed: Seed of the scenario.
        names: Parts of the component's name; the same seed and names give the same draws.
    """
    key = [name if isinstance(name, int) else int.from_bytes(name.encode(), "little") for name in names]
    return np.random.default_rng(np.random.SeedSequence([seed, *key]))
