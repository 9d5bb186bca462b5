# A tenant moves under load into a cell whose boxes have just started, with purges on the way and a box of the
# target that drains and comes back.
scenario {
  duration     = "50s"
  counted_from = "3s"
  directors    = 2
  service      = "move-cells.hcl"
  warm_objects = 60
  least = { "service_cells" = 0.95, "moved_cells" = 0.95, "over_cells" = 1 }
}

boxes {
  count    = 8
  capacity = 3
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

tenant "mover" {
  rate_per_s = 40
  objects    = 80
  mix        = { "site-video" = 0.45, "job-sheet" = 0.4, "booking" = 0.15 }
}

tenant "stayer" {
  rate_per_s = 20
  objects    = 80
  mix        = { "site-video" = 0.5, "job-sheet" = 0.45, "booking" = 0.05 }
}

tenant "host" {
  rate_per_s = 10
  objects    = 80
  mix        = { "site-video" = 0.5, "job-sheet" = 0.45, "booking" = 0.05 }
}

happens {
  at   = "3s"
  what = "kill"
  name = "box-5"
}

happens {
  at   = "5s"
  what = "start"
  name = "box-5"
}

happens {
  at   = "3s"
  what = "kill"
  name = "box-6"
}

happens {
  at   = "5s"
  what = "start"
  name = "box-6"
}

happens {
  at   = "3s"
  what = "kill"
  name = "box-7"
}

happens {
  at   = "5s"
  what = "start"
  name = "box-7"
}

happens {
  at   = "3s"
  what = "kill"
  name = "box-8"
}

happens {
  at   = "5s"
  what = "start"
  name = "box-8"
}

happens {
  at   = "7s"
  what = "service"
  name = "move-cells-2.hcl"
}

happens {
  at   = "10s"
  what = "purge"
  name = "5"
}

happens {
  at   = "12s"
  what = "drain"
  name = "box-6"
}

happens {
  at   = "16s"
  what = "lift"
  name = "box-6"
}

happens {
  at   = "20s"
  what = "purge"
  name = "11"
}

happens {
  at   = "30s"
  what = "purge"
  name = "40"
}
