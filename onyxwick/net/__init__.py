"""The sockets of the platform: clients' FastCGI front, connections to caches, and the feeds.

Clients: `front` admits connections (`accept_loop`, `connection_slots`), `front_connection` serves one
(`fastcgi_parser`, `call_intake`, `fastcgi_calls`, `arrival_clock`), `connection_shutdown` and `lingering`
close it. Caches: `cache_pool` chooses a `cache_connection`; `cache_wire` and `resp` are its protocol. Feeds:
`coordinator_feed` (`feed_race`, `feed_wire`), or `subscription` and `director_feed` for the distribution
tree, whose nodes are `publisher_node` and `relay_node`. All share `buffer`, `write_queue` and `socket_state`.
"""
