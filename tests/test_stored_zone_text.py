"""The quick reader of stored zones finds what the general one finds, or leaves the text to it."""

from __future__ import annotations

import random

import pytest

from onyxwick.tenant_errors import TenantError
from onyxwick.zone_text_reader import OtherFormError, read_written_out
from onyxwick.zones import TenantZone, read_accepted_zone, read_name, read_stored_zone, read_zone

HEAD = "@ 60 IN SOA ns a 1 1 1 1 60\n@ 60 IN NS ns\nns 60 IN A 192.0.2.1\n"
ZONE = "ex.example."
RECORDS = (
    "A 192.0.2.9",
    "A 192.0.2.10",
    "AAAA 2001:db8::1",
    "AAAA ::ffff:1.2.3.4",
    "MX 10 Mail",
    "NS ns.other.",
    "PTR x\\.y.other.",
    'TXT "a;b" "q\\"uo te" "\\195\\169" ""',
    "SRV 0 0 5060 ns",
    'CAA 0 issue "ca.example"',
    "TYPE65280 \\# 3 010203",
    "LOC 51 30 12.748 N 0 7 39.611 W 0.00m 0.00m 0.00m 0.00m",
    "DS 60485 5 1 2BB183AF5F22588179A53B0A98631FAD1A292118",
    'HTTPS 1 . alpn="h2,h3" ipv4hint=1.2.3.4',
    'NAPTR 100 10 "S" "SIP+D2U" "!^.*$!sip:a@b!" _sip._udp',
)
OWNERS = ("a", "Www", "*.b", "c.d.e", "x\\.y", "_sip._tcp", "\\000\\032z", "a.a.a", "@")


def _same(zone: TenantZone, other: TenantZone) -> bool:
    nodes = (zone.nodes._packed, zone.nodes._below) == (other.nodes._packed, other.nodes._below)
    return nodes and (zone.text, zone.routed) == (other.text, other.routed)


@pytest.mark.parametrize("seed", range(20))
def test_a_written_out_zone_is_read_as_by_the_general_reader(seed: int) -> None:
    rng = random.Random(seed)
    lines = [f"{rng.choice(OWNERS)} {rng.choice([5, 60])} IN {rng.choice(RECORDS)}\n" for _ in range(40)]
    lines.append("alias 60 IN CNAME A\n")
    zone = read_zone("yards", ZONE, HEAD + "".join(lines), "edge")
    quick = read_written_out(zone.name, zone.text)
    assert (quick._packed, quick._below) == (zone.nodes._packed, zone.nodes._below)
    assert _same(read_stored_zone("yards", ZONE, zone.text, "edge"), zone)


@pytest.mark.parametrize(
    "line",
    [
        "a.ex.example. 60 IN RRSIG A 8 3 60 20300101000000 20200101000000 1 ex.example. AAAA",
        "relative 60 IN A 192.0.2.1",
        "a.ex.example. 60  IN A 192.0.2.1",
        "a.ex.example.\t60 IN A 192.0.2.1",
        "a.ex.example. IN A 192.0.2.1",
        "a.ex.example. 1h IN A 192.0.2.1",
        "a.ex.example. 60 IN MX (10\nmail)",
        "ns.ex.example. 60 IN A 192.0.2.7\nb.ex.example. 60 IN A 192.0.2.1\nns.ex.example. 60 IN AAAA ::1",
        "$ORIGIN a.ex.example.\n@ 60 IN A 192.0.2.1",
    ],
)
def test_a_text_of_another_form_is_left_to_the_general_reader(line: str) -> None:
    text = read_zone("yards", ZONE, HEAD).text + line + "\n"
    with pytest.raises(OtherFormError):
        read_written_out(read_name(ZONE), text)
    expected, found = read_accepted_zone("yards", ZONE, text), read_stored_zone("yards", ZONE, text)
    assert found.nodes._packed == expected.nodes._packed


@pytest.mark.parametrize(
    "text",
    [
        "",
        "no zone",
        "ex.example. 60 IN NS ns.ex.example.\n",
        HEAD.replace("@", "ex.example.") + "a..ex.example. 60 IN A 192.0.2.1\n",
        read_zone("yards", ZONE, HEAD).text + "a.ex.example. 60 IN A 192.0.2.256\n",
        read_zone("yards", ZONE, HEAD).text + "a.ex.example. 60 IN A\n",
        read_zone("yards", ZONE, HEAD).text + f"{'a' * 64}.ex.example. 60 IN A 192.0.2.1\n",
    ],
)
def test_a_text_that_is_no_zone_is_refused(text: str) -> None:
    with pytest.raises(TenantError):
        read_stored_zone("yards", ZONE, text)
