"""The second front: an authoritative name server whose routed names are answered by the core."""
