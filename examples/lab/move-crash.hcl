# The move of move.hcl, with both directors killed on the way: one while the share grows, one soon after.
scenario {
  extends = "move.hcl"
  least   = { "service_cells" = 0.93, "moved_cells" = 0.93, "over_cells" = 1 }
}

happens {
  at   = "15s"
  what = "crash"
  name = "0"
}

happens {
  at   = "24s"
  what = "crash"
  name = "1"
}
