"""The DNS front: an authoritative name server whose routed names the request core answers."""
