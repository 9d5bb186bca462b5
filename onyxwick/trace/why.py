"""Why a router chose what it chose, read from its state right after the choice. Changes nothing of it."""

from __future__ import annotations

from onyxwick.interface import ForwardRequest, ForwardWithFill, Idempotency
from onyxwick.logic import Job, Peer, Router
from onyxwick.trace.model import Why
from onyxwick.trace.recorder import Belief

MOST_BOXES = 64  # looked through for the ones before the chosen one: over it only the plain causes are told


def belief(router: Router, action: ForwardRequest | ForwardWithFill) -> Belief:
    """What was believed of the member that an action names, and why it was that one."""
    peer = router.peers.get(action.member)
    if peer is None:
        return Belief()
    job = router.jobs.get(action.request_id)
    pending = len(peer.pending) - 1  # without this attempt
    return Belief(
        int(_choice(router, job, peer)), max(0, pending), peer.room, peer.failing, router._cold(peer)
    )


def _choice(router: Router, job: Job | None, peer: Peer) -> Why:
    if job is None:
        return Why.UNKNOWN
    if peer not in router.caches:
        return Why.DIRECT
    if any(flight.doubled for flight in job.flights):
        return Why.SECOND_COPY
    if len(router.caches) > MOST_BOXES:
        return Why.TRIED if len(job.flights) > 1 else Why.UNKNOWN
    order = router._order(f"{job.ask.object_id}/{job.ask.part}", router.caches)
    place = order.index(peer)
    if place == 0:
        return Why.HOME
    before, tried = order[:place], [flight.peer for flight in job.flights[:-1] if not flight.missed]
    if any(p in tried for p in before):
        return Why.TRIED
    if any(p.ejected for p in before):
        return Why.EJECTED
    work = router.work[job.kind.name].mean
    if any(not router._affords(p, work) for p in before):
        return Why.COLD
    if any(not router._fits(p, job.kind) for p in before):
        return Why.FULL
    return Why.TURN if place == 1 else Why.UNKNOWN


def ending(router: Router, job: Job | None, now: int) -> Why:
    """Why a router gives a request up; `job` as it was found before it was closed."""
    if job is None:
        return Why.UNKNOWN
    if job.deadline - now <= router.set.tick_us:
        return Why.NO_TIME
    if len(job.flights) >= router.set.limits.max_attempts:
        return Why.NO_ATTEMPTS
    if job.maybe_ran is not None and job.kind.idempotency is not Idempotency.IDEMPOTENT:
        return Why.MAY_HAVE_RUN
    last = job.flights[-1] if job.flights else None
    if last is not None and not last.missed and router.retries < 1.0:
        return Why.NO_RETRIES
    if last is not None and last.missed:
        return Why.NO_SOURCE
    return Why.NO_BOX
