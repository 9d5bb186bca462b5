"""When clients ask for what: drawn whole before a run from one seed, so that runs have the same clients."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

import numpy as np

from onyxwick.lab.model import Scenario, ScenarioFault, ScenarioLoad

GAP_US = 400_000  # between two parts of one object


@dataclass(frozen=True, slots=True)
class Arrival:
    at_us: int
    tenant: str
    class_name: str
    object: str
    part: int


def object_name(tenant: str, number: int) -> str:
    return blake2b(f"{tenant}/{number}".encode(), digest_size=8).hexdigest()


def _starts(rng: np.random.Generator, rate_per_s: float, begin_us: int, end_us: int) -> np.ndarray:
    """A Poisson process: the times of arrivals are uniform, given how many there are."""
    count = rng.poisson(rate_per_s * max(0, end_us - begin_us) / 1e6)
    return np.sort(rng.uniform(begin_us, end_us, count))


def _zipf(rng: np.random.Generator, load: ScenarioLoad, count: int) -> np.ndarray:
    weights = 1 / np.arange(1, load.objects + 1) ** load.zipf
    return rng.choice(load.objects, count, p=weights / weights.sum())


def _one(
    scenario: Scenario, load: ScenarioLoad, rng: np.random.Generator, fault: ScenarioFault | None
) -> list[Arrival]:
    """A tenant's arrivals in one span of time; a fault's own where it is given."""
    begin, end = (
        (fault.begin_us, min(fault.end_us, scenario.duration_us)) if fault else (0, scenario.duration_us)
    )
    names, shares = zip(*load.mix, strict=True)
    parts = np.array([scenario.classes[name].parts for name in names])
    share = np.array(shares) / sum(shares)
    rate = load.rate_per_s * (fault.factor if fault else 1)
    only = fault.only if fault else None
    mean_parts = scenario.classes[only].parts if only else float((share * parts).sum())
    starts = _starts(rng, rate / mean_parts, begin, end)
    kinds, objects = rng.choice(len(names), len(starts), p=share), _zipf(rng, load, len(starts))
    out = []
    for n, (at, kind, number) in enumerate(zip(starts, kinds, objects, strict=True)):
        name = only or names[kind]
        unique = fault is not None and fault.unique
        which = object_name(load.name, 10_000_000 + n if unique else int(number))
        for part in range(scenario.classes[name].parts):
            when = int(at) + part * GAP_US
            if when < end:
                out.append(Arrival(when, load.name, name, which, part))
    return out


def draw(scenario: Scenario, seed: int, misbehaves: str | None) -> list[Arrival]:
    """All arrivals in order of time. `misbehaves`: the fault that is played, by name. A tenant's own arrivals
    do not depend on whether another misbehaves."""
    out = []
    for n, load in enumerate(scenario.loads):
        rng = np.random.default_rng((seed, n))
        usual, fault = _one(scenario, load, rng, None), load.fault(misbehaves)
        if fault is None:
            out += usual
            continue
        out += [a for a in usual if not fault.begin_us <= a.at_us < fault.end_us]
        out += _one(scenario, load, np.random.default_rng((seed, n, 1)), fault)
    return sorted(out, key=lambda a: (a.at_us, a.tenant, a.object, a.part))
