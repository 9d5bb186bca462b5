# The boxes of one depot are gone for 16 s while its directors live on and its clients go on asking them; the lists say
# nothing of it until 7 s later.
scenario {
  extends    = "site-loss.hcl"
  told_after = "7s"
}

fault "loss" {
  at   = "15s"
  what = "lose"
  name = "north"
  how  = "boxes"
  for  = "16s"
}
