# Two of three depots are lost within a second of each other: what is left cannot bear the load, so something is refused.
# They come back one after the other.
scenario {
  extends  = "site-loss.hcl"
  duration = "70s"
}

fault "loss" {
  at   = "15s"
  what = "lose"
  name = "north"
  for  = "14s"
}

fault "second" {
  at   = "16s"
  what = "lose"
  name = "west"
  for  = "22s"
}
