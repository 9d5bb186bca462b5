dns {
  listen = "127.77.0.1:15353"
}

admin {
  listen     = "127.77.0.1:18053"
  token_file = "operator.token"
}

tenant "depot" {
  quota_per_s = 10000
  token       = "depot-token-for-these-tests"

  # A key for these tests alone.
  key "update.depot.test." {
    secret = "b255eHdpY2stdGVzdC1rZXk="
  }

  zone "depot.test." {
    file   = "depot.zone"
    routed = "route"
  }
}
