trace {
  folder     = "trace"
  on         = false
  signal_for = "30s"
}
