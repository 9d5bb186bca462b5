# All directors are killed at once and come back from their stores: what they ask of the coordinator and of the boxes
# together in the 3 s after. Each director is a process of its own with a store of its own. herd-40.hcl: forty.
scenario {
  duration     = "14s"
  counted_from = "2s"
  directors    = 3
  store        = true
  warm_objects = 60
}

boxes {
  count    = 8
  capacity = 6
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
  rate_per_s = 120
  objects    = 120
  mix        = { "site-video" = 0.45, "job-sheet" = 0.4, "booking" = 0.15 }
}

happens {
  at   = "6s"
  what = "crash"
  name = "all"
}
