"""Injects faults into a simulation: the same kinds of fault as `acts.py` injects into processes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from onyxwick.interface import Event, MemberState, ObjectsPurged
from onyxwick.lab.audit import Records
from onyxwick.lab.faults.model import FleetScenario, InjectedFault
from onyxwick.lab.faults.simulation_model import GROUPS, Box, Callback, S, SimulatedFront
from onyxwick.lab.model import Scenario
from onyxwick.sites import SiteCommand, SiteRouter
from onyxwick.sites.lifecycle import SiteDirective


class Simulated(Protocol):
    """The part of the simulation that its faults use."""

    now: int
    fleet: FleetScenario
    scenario: Scenario
    records: Records
    boxes: dict[str, Box]
    fronts: list[SimulatedFront]
    gone: set[str]
    cuts: set[tuple[str, str]]
    resets: dict[frozenset[str], float]
    extra: dict[frozenset[str], int]
    away: dict[str, int]
    unlisted: bool
    purged: dict[int, int]

    def after(self, us: float, then: Callback) -> None:
        """Call `then` after `us` microseconds."""
        ...

    def note(self, fault: InjectedFault, on: bool) -> None:
        """Record in the history that a fault begins or ends."""
        ...

    def tell_lists(self, boxes: list[Box], state: MemberState) -> None:
        """Make the coordinator notify all directors of the state of machines."""
        ...

    def stop_machine(self, box: Box) -> None:
        """End the process of a machine."""
        ...

    def restart_machine(self, box: Box) -> None:
        """Start the process of a machine again, with an empty cache."""
        ...

    def advance_link(self, box: Box) -> None:
        """Advance the link of a machine to the present time."""
        ...

    def start_director(self, front: SimulatedFront) -> None:
        """Start a director without any earlier state."""
        ...

    def notify(self, front: SimulatedFront, *events: Event) -> None:
        """Pass events to a director."""
        ...


def partial_of(call: Callable[..., None], *args: object) -> Callable[[], None]:
    """Return a function without arguments that makes the call."""
    return lambda: call(*args)


class Faults:
    """Injects and ends the faults of one simulation."""

    def __init__(self, sim: Simulated) -> None:
        self.sim = sim

    def begin(self, fault: InjectedFault) -> None:
        """Inject a fault and end it after its duration; with `twice`, once more `amount` seconds later."""
        self.sim.note(fault, True)
        undo = self._act(fault)
        if undo is None or not fault.for_us:
            return

        def end() -> None:
            undo()
            self.sim.note(fault, False)
            if fault.how == "twice":
                again = replace(fault, how="")
                self.sim.after(fault.amount * S, lambda: self.begin(again))

        self.sim.after(fault.for_us, end)

    def _act(self, fault: InjectedFault) -> Callable[[], None] | None:
        match fault.what:
            case "lose":
                return self._lose(fault)
            case "cut" | "cut-there" | "cut-back":
                return self._cut(fault)
            case "slow":
                return self._slow(fault)
            case "lossy" | "delay":
                return self._disturb_link(fault)
            case "stop" | "kill" | "mute":
                return self._disturb_directors(fault)
            case "unlisted":
                self.sim.unlisted = True
                return lambda: setattr(self.sim, "unlisted", False)
            case "replace":
                self._replace(fault)
            case "purge":
                self._purge(fault)
            case "order" | "drill":
                self._order(fault)
        return None

    def _boxes(self, place: str) -> list[Box]:
        return [box for box in self.sim.boxes.values() if box.place == place]

    def _lose(self, fault: InjectedFault) -> Callable[[], None]:
        sim, place = self.sim, fault.name
        boxes = self._boxes(place) if fault.how != "directors" else []
        fronts = [f for f in sim.fronts if f.site == place] if fault.how != "boxes" else []
        if fault.how not in ("boxes", "directors"):
            sim.gone.add(place)
        for box in boxes:
            sim.stop_machine(box)
        for front in fronts:
            self._kill_director(front)
        if fronts:
            sim.away[place] = sim.now + sim.fleet.failover_us
        if boxes:
            sim.tell_lists(boxes, MemberState.REMOVED)
        return partial_of(self._restore, fault, boxes, fronts)

    def _kill_director(self, front: SimulatedFront) -> None:
        front.up, front.born = False, front.born + 1
        for client in list(front.ends.values()):
            self.sim.after(1000, lambda c=client: c("failed", 0))  # type: ignore[misc]
        for request in front.ends:
            self.sim.records.taken[request].left = True
        front.ends.clear()
        front.outs.clear()

    def _restore(self, fault: InjectedFault, boxes: list[Box], fronts: list[SimulatedFront]) -> None:
        sim = self.sim
        sim.gone.discard(fault.name)
        if fault.how == "part":
            boxes = boxes[: max(1, len(boxes) // 2)]
        if fault.how == "new":
            boxes = [self._successor(box) for box in boxes]
        for box in boxes:
            sim.restart_machine(box)
        if boxes:
            sim.tell_lists(boxes, MemberState.READY)
        for front in fronts:
            sim.start_director(front)
        if fronts:
            sim.after(sim.fleet.failover_us, partial_of(self._return_clients, fault.name))

    def _return_clients(self, site: str) -> None:
        """Let the clients of a site return to it."""
        self.sim.away.pop(site, None)

    def _successor(self, box: Box) -> Box:
        made = replace(box, name=f"{box.name}-b", waiting={})
        self.sim.boxes[made.name] = made
        return made

    def _replace(self, fault: InjectedFault) -> None:
        sim, boxes = self.sim, self._boxes(fault.name)
        gap = fault.for_us // max(1, len(boxes))

        def drain(box: Box) -> None:
            sim.tell_lists([box], MemberState.DRAINING)
            sim.records.drained.append((box.name, sim.now + sim.scenario.told_after_us, 0))

        def swap(box: Box) -> None:
            sim.stop_machine(box)
            sim.tell_lists([box], MemberState.REMOVED)
            new = self._successor(box)
            sim.restart_machine(new)
            sim.tell_lists([new], MemberState.READY)

        for n, box in enumerate(boxes):
            sim.after(n * gap, lambda b=box: drain(b))  # type: ignore[misc]
            sim.after(n * gap + gap * 0.6, lambda b=box: swap(b))  # type: ignore[misc]

    def _cut(self, fault: InjectedFault) -> Callable[[], None]:
        one, other = fault.name.split("|")
        fleet = self.sim.fleet
        every = [*fleet.sites, *fleet.hubs, "archive", "outside"]
        others = [p for p in every if p != one] if other == "outside" else [other]
        # An attempt fails in the same manner whether its request or its answer is lost.
        made = {(one, b) for b in others} - self.sim.cuts
        self.sim.cuts |= made
        return lambda: self.sim.cuts.difference_update(made)

    def _slow(self, fault: InjectedFault) -> Callable[[], None]:
        def turn(times: float) -> None:
            for box in self._boxes(fault.name):
                box.link.advance(self.sim.now)
                box.link.tier = replace(box.tier, capacity=box.tier.capacity / times)
                self.sim.advance_link(box)

        turn(max(1.0, fault.amount))
        return lambda: turn(1.0)

    def _disturb_link(self, fault: InjectedFault) -> Callable[[], None]:
        ends = frozenset(fault.name.split("|"))
        if fault.what == "lossy":
            self.sim.resets[ends] = fault.amount
            return lambda: self.sim.resets.update({ends: 0.0})
        self.sim.extra[ends] = int(fault.amount * 1000)
        return lambda: self.sim.extra.update({ends: 0})

    def _disturb_directors(self, fault: InjectedFault) -> Callable[[], None]:
        fronts = [f for f in self.sim.fronts if fault.name in (f.name, f.site, "all")]
        for front in fronts:
            if fault.what == "kill":
                self._kill_director(front)
            elif fault.what == "stop":
                front.stopped = True
            else:
                front.muted = True

        def undo() -> None:
            for front in fronts:
                if fault.what == "kill":
                    self.sim.start_director(front)
                elif fault.what == "stop":
                    front.stopped = False
                    waiting, front.backlog = front.backlog, []
                    self.sim.notify(front, *waiting)
                else:
                    front.muted = False

        return undo

    def _purge(self, fault: InjectedFault) -> None:
        groups = range(GROUPS) if fault.name == "all" else [int(fault.name)]
        for group in groups:
            self.sim.purged[group] = self.sim.now
            for front in self.sim.fronts:
                self.sim.after(
                    self.sim.scenario.told_after_us,
                    lambda f=front, g=group, at=self.sim.now: self.sim.notify(  # type: ignore[misc]
                        f, ObjectsPurged(g, None, self.sim.now - at)
                    ),
                )

    def _order(self, fault: InjectedFault) -> None:
        site, _, word = fault.name.partition(" ")
        stay = int(fault.amount * S) if fault.what == "drill" else 0
        order = SiteCommand(site, SiteDirective(word or "evacuate"), fault.label, "lab", self.sim.now, stay)
        for front in self.sim.fronts:
            if front.up and isinstance(front.decider, SiteRouter):
                front.decider.apply_command(self.sim.now, order)
