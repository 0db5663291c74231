"""The time that an owner spends on one admission and on the digests of all peers."""

from almondspindle.controllers.admission.messages import (
    AdmissionConfigChanged,
    Admit,
    GetDigests,
    LoadReported,
    OwnedTargetsChanged,
    PeerDigests,
    ReleaseTicket,
)
from almondspindle.controllers.admission.task import AdmissionController
from almondspindle.core.calls import WorkKind
from almondspindle.core.clock import ManualClock
from almondspindle.core.config import ConfigSet, Service, ServiceKind
from almondspindle.core.digest import ServiceDigest
from almondspindle.core.load import LoadReport, OwnedTarget
from almondspindle.core.roster import Target
from bench.output import duration_of, percentile, print_figure

TARGETS = 10
SERVICES = 7
PEERS = 1099
ADMISSIONS = 2000
US_PER_S = 1e6
MS_PER_S = 1e3


def run() -> None:
    """Print the median times of an admission with its release and of reading the own digests.

    Also print the time to apply the digests of all peers.
    """
    admission = AdmissionController(ManualClock(), takeover_s=0.0)
    services = {f"s{n}": Service(f"s{n}", ServiceKind.CHAT) for n in range(SERVICES)}
    admission.handle(AdmissionConfigChanged(ConfigSet(1, services=services)), 0.0)
    targets = [Target(f"t{n}", f"s{n % SERVICES}", "z", "ip:1") for n in range(TARGETS)]
    admission.handle(
        OwnedTargetsChanged(tuple(OwnedTarget(target, True) for target in targets)), 0.0
    )
    for target in targets:
        admission.handle(LoadReported(target.name, LoadReport("a", 600.0, 0), 0.0), 0.0)
    digests = tuple(ServiceDigest(name, 60, 2) for name in services)
    peers = PeerDigests({f"h{n}": digests for n in range(PEERS)})
    peer_digests_s = duration_of(lambda: admission.handle(peers, 0.0))
    admission_times = [
        duration_of(lambda n=n: admit_and_release(admission, n)) for n in range(ADMISSIONS)
    ]
    digest_times = [
        duration_of(lambda: admission.handle(GetDigests(), 1.0)) for _ in range(ADMISSIONS)
    ]
    print_figure("admit_and_release_us_p50", percentile(admission_times, 0.5) * US_PER_S, "us")
    print_figure("own_digests_us_p50", percentile(digest_times, 0.5) * US_PER_S, "us")
    print_figure("peer_digests_ms_1100", peer_digests_s * MS_PER_S, "ms")


def admit_and_release(admission: AdmissionController, number: int) -> None:
    """Admit one request and release its ticket."""
    target = number % TARGETS
    request = Admit(f"t{target}", f"s{target % SERVICES}", "a", WorkKind.CHAT, f"c-{number}")
    ticket = admission.handle(request, 1.0)
    admission.handle(ReleaseTicket(ticket.ok), 1.0)
