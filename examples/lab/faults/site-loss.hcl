# Three depots with two directors and six boxes each, two hubs, the archive, two tenants. One depot is lost for 16 s,
# its clients come to the others 3 s later, the lists tell of it 2 s later; it comes back cold and empty.
scenario {
  duration     = "60s"
  counted_from = "3s"
  warm_objects = 60
  told_after   = "2s"
}

fleet {
  archive  = "hub-a"
  failover = "3s"
  local    = 0.2
  reserves = { "yards" = 0.2 }
}

site "north" {
  directors = 2
  boxes     = 6
  failover  = { "west" = 0.5, "south" = 0.5 }
}

site "west" {
  directors = 2
  boxes     = 6
}

site "south" {
  directors = 2
  boxes     = 6
}

hub "hub-a" { stores = 1 }
hub "hub-b" { stores = 1 }

path "north" "hub-a" {
  capacity = 8
  delay    = "6ms"
}

path "west" "hub-a" {
  capacity = 8
  delay    = "6ms"
}

path "south" "hub-b" {
  capacity = 8
  delay    = "6ms"
}

path "north" "hub-b" {
  capacity = 8
  delay    = "20ms"
}

path "west" "hub-b" {
  capacity = 8
  delay    = "20ms"
}

path "south" "hub-a" {
  capacity = 8
  delay    = "20ms"
}

path "north" "west" {
  capacity = 30
  delay    = "8ms"
}

path "north" "south" {
  capacity = 30
  delay    = "14ms"
}

path "west" "south" {
  capacity = 30
  delay    = "10ms"
}

path "hub-b" "archive" { delay = "15ms" }

boxes {
  count    = 6
  capacity = 2.6
}

parents {
  count    = 1
  capacity = 2.6
}

origin {
  capacity = 8
  wait     = "20ms"
}

class "site-video" {
  aim      = "600ms"
  stretch  = 1.6
  deadline = "5s"
  worth    = 2
  sending  = "140ms"
  parts    = 4
  bytes    = 6000
}

class "job-sheet" {
  aim      = "300ms"
  stretch  = 2
  deadline = "3s"
  worth    = 1
  sending  = "70ms"
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

seen "site-video" {
  fill_share  = 0.25
  relay_share = 0.3
}

seen "job-sheet" {
  fill_share  = 0.35
  relay_share = 0.5
}

tenant "depot" {
  rate_per_s = 130
  objects    = 160
  mix        = { "site-video" = 0.3, "job-sheet" = 0.6, "booking" = 0.1 }
}

tenant "yards" {
  rate_per_s = 60
  objects    = 100
  mix        = { "site-video" = 0.2, "job-sheet" = 0.75, "booking" = 0.05 }
}

fault "loss" {
  at   = "15s"
  what = "lose"
  name = "north"
  for  = "16s"
}
