# As herd.hcl, with forty directors.
scenario {
  extends   = "herd.hcl"
  directors = 40
}
