"""Why a router chose what it chose, read from its state right after the choice. Changes nothing of it."""

from __future__ import annotations

from onyxwick.interface import ForwardRequest, ForwardWithFill, Idempotency
from onyxwick.logic import Job, Peer, Router
from onyxwick.trace.model import DecisionReason
from onyxwick.trace.recorder import MemberBelief

MOST_BOXES = 64  # looked through for the ones before the chosen one: over it only the plain causes are told


def belief(router: Router, action: ForwardRequest | ForwardWithFill) -> MemberBelief:
    """What was believed of the member that an action names, and why it was that one."""
    peer = router.peers.get(action.member)
    if peer is None:
        return MemberBelief()
    job = router.jobs.get(action.request_id)
    pending = len(peer.pending) - 1  # without this attempt
    return MemberBelief(
        int(_choice(router, job, peer)), max(0, pending), peer.room, peer.failing, router._cold(peer)
    )


def _choice(router: Router, job: Job | None, peer: Peer) -> DecisionReason:
    if job is None:
        return DecisionReason.UNKNOWN
    if peer not in router.caches:
        return DecisionReason.DIRECT
    if any(flight.doubled for flight in job.flights):
        return DecisionReason.SECOND_COPY
    if len(router.caches) > MOST_BOXES:
        return DecisionReason.TRIED if len(job.flights) > 1 else DecisionReason.UNKNOWN
    order = router._order(f"{job.ask.object_id}/{job.ask.part}", router.caches)
    place = order.index(peer)
    if place == 0:
        return DecisionReason.HOME
    before, tried = order[:place], [flight.peer for flight in job.flights[:-1] if not flight.missed]
    if any(p in tried for p in before):
        return DecisionReason.TRIED
    if any(p.ejected for p in before):
        return DecisionReason.EJECTED
    work = router.work[job.kind.name].mean
    if any(not router._affords(p, work) for p in before):
        return DecisionReason.COLD
    if any(not router._fits(p, job.kind) for p in before):
        return DecisionReason.FULL
    return DecisionReason.TURN if place == 1 else DecisionReason.UNKNOWN


def ending(router: Router, job: Job | None, now: int) -> DecisionReason:
    """Why a router gives a request up; `job` as it was found before it was closed."""
    if job is None:
        return DecisionReason.UNKNOWN
    if job.deadline - now <= router.set.tick_us:
        return DecisionReason.NO_TIME
    if len(job.flights) >= router.set.limits.max_attempts:
        return DecisionReason.NO_ATTEMPTS
    if job.maybe_ran is not None and job.kind.idempotency is not Idempotency.IDEMPOTENT:
        return DecisionReason.MAY_HAVE_RUN
    last = job.flights[-1] if job.flights else None
    if last is not None and not last.missed and router.retries < 1.0:
        return DecisionReason.NO_RETRIES
    if last is not None and last.missed:
        return DecisionReason.NO_SOURCE
    return DecisionReason.NO_BOX
