"""The platform's sockets: the front that clients reach, the caches and the coordinator."""
