# What is no loss of a site, one after the other: a slow depot, a planned replacement of another's boxes, a lossy link, and
# a depot's own cut from everything. No director may hold a site to be lost.
scenario {
  extends  = "site-loss.hcl"
  duration = "55s"
}

fault "loss" {
  at     = "6s"
  what   = "slow"
  name   = "north"
  amount = 4
  for    = "9s"
}

fault "replacement" {
  at   = "18s"
  what = "replace"
  name = "west"
  for  = "12s"
}

fault "lossy" {
  at     = "32s"
  what   = "lossy"
  name   = "south|hub-b"
  amount = 0.03
  for    = "6s"
}

fault "ours" {
  at   = "41s"
  what = "cut"
  name = "south|outside"
  for  = "5s"
}
