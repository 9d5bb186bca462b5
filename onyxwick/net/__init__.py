"""Network input and output: the clients' FastCGI front, the connections to caches, and the event feeds.

Clients: `front` admits connections (`accept_loop`, `connection_slots`), `front_connection` serves one of them
(`fastcgi_parser`, `call_intake`, `fastcgi_calls`, `arrival_clock`), and `connection_shutdown` and `lingering`
close it. Caches: `cache_pool` chooses a `cache_connection`; `cache_wire` and `resp` implement its protocol.
Feeds: a director reads either the coordinator's feed (`coordinator_feed`, `feed_race`, `feed_wire`) or the
distribution tree (`subscription`, `director_feed`), whose nodes are `publisher_node` and `relay_node`.
`buffer`, `write_queue` and `socket_state` are shared by all of them.
"""
