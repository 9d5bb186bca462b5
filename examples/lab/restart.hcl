# A director is killed while the coordinator is out of reach, after a drain, an operator's drain and a purge; it comes
# up with the list of long ago. Played with a store and without.
scenario {
  duration     = "26s"
  counted_from = "2s"
  store        = true
  warm_objects = 60
}

boxes {
  count    = 6
  capacity = 4
}

parents {
  count    = 2
  capacity = 12
}

origin {
  capacity = 24
  wait     = "20ms"
}

class "site-video" {
  aim      = "600ms"
  stretch  = 1.6
  deadline = "5s"
  worth    = 2
  sending  = "60ms"
  parts    = 4
  bytes    = 6000
}

class "job-sheet" {
  aim      = "300ms"
  stretch  = 2
  deadline = "3s"
  worth    = 1
  sending  = "30ms"
  fresh    = "12s"
  bytes    = 2000
}

class "booking" {
  repeat   = "once"
  aim      = "600ms"
  deadline = "3s"
  worth    = 3
  sending  = "20ms"
}

tenant "depot" {
  rate_per_s = 80
  objects    = 120
  mix        = { "site-video" = 0.45, "job-sheet" = 0.4, "booking" = 0.15 }
}

happens {
  at   = "5s"
  what = "drain"
  name = "box-2"
}

happens {
  at   = "6s"
  what = "api"
  name = "PUT /drains/box-4"
}

happens {
  at   = "8s"
  what = "purge"
  name = "7"
}

happens {
  at   = "8s"
  what = "purge"
  name = "12"
}

happens {
  at   = "8500ms"
  what = "purge"
  name = "20"
}

happens {
  at   = "9s"
  what = "mute"
}

happens {
  at   = "9500ms"
  what = "crash"
  name = "0"
}

happens {
  at   = "17s"
  what = "unmute"
}
