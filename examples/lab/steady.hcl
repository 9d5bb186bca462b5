# Nothing happens: a steady load for measurements of cost, on boxes that have room for it.
scenario {
  extends      = "noisy-tenant.hcl"
  duration     = "12s"
  counted_from = "1s"
  least        = {}
}

boxes {
  count    = 8
  capacity = 6
}

tenant "noisy" {
  rate_per_s = 130
  objects    = 80
  mix        = { "site-video" = 0.5, "job-sheet" = 0.45, "booking" = 0.05 }
}
