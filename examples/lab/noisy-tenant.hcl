# One tenant asks for ten times its usual rate: with keys that never come again, with bookings only, or with clients
# that never read. Played with the cells of the service file and without, calm and with each of the three.
scenario {
  duration     = "24s"
  counted_from = "4s"
  service      = "noisy-cells.hcl"
  warm_objects = 60
  least = {
    "most_loss_cells-unique"   = 0.01
    "most_loss_cells-bookings" = 0.01
    "most_loss_cells-deaf"     = 0.01
    "loss_whole-unique"        = 0.1
  }
}

boxes {
  count    = 8
  capacity = 2
}

parents {
  count    = 2
  capacity = 8
}

origin {
  capacity = 12
  wait     = "20ms"
}

class "site-video" {
  aim      = "600ms"
  stretch  = 1.6
  deadline = "5s"
  worth    = 2
  sending  = "60ms"
  parts    = 4
  bytes    = 60000
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
  sending  = "40ms"
}

tenant "north-1" {
  rate_per_s = 10
  objects    = 80
  mix        = { "site-video" = 0.5, "job-sheet" = 0.45, "booking" = 0.05 }
}

tenant "north-2" {
  rate_per_s = 10
  objects    = 80
  mix        = { "site-video" = 0.5, "job-sheet" = 0.45, "booking" = 0.05 }
}

tenant "south-1" {
  rate_per_s = 10
  objects    = 80
  mix        = { "site-video" = 0.5, "job-sheet" = 0.45, "booking" = 0.05 }
}

tenant "south-2" {
  rate_per_s = 10
  objects    = 80
  mix        = { "site-video" = 0.5, "job-sheet" = 0.45, "booking" = 0.05 }
}

tenant "east-1" {
  rate_per_s = 10
  objects    = 80
  mix        = { "site-video" = 0.5, "job-sheet" = 0.45, "booking" = 0.05 }
}

tenant "east-2" {
  rate_per_s = 10
  objects    = 80
  mix        = { "site-video" = 0.5, "job-sheet" = 0.45, "booking" = 0.05 }
}

tenant "west-1" {
  rate_per_s = 10
  objects    = 80
  mix        = { "site-video" = 0.5, "job-sheet" = 0.45, "booking" = 0.05 }
}

tenant "noisy" {
  rate_per_s = 40
  objects    = 80
  mix        = { "site-video" = 0.5, "job-sheet" = 0.45, "booking" = 0.05 }

  misbehaves "unique" {
    begin  = "6s"
    end    = "22s"
    factor = 10
    unique = true
  }

  misbehaves "bookings" {
    begin  = "6s"
    end    = "22s"
    factor = 10
    only   = "booking"
  }

  misbehaves "deaf" {
    begin       = "6s"
    end         = "22s"
    factor      = 10
    never_reads = true
  }
}
