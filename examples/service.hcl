# Copy to deploy/service.hcl, or name it in ONYXWICK_SERVICE, to switch the hosted service on.
dns {
  listen   = "127.0.0.1:5353"
  deadline = "1s"
}

# The administration API wants a file with the operator's token, which is yours to make.
# admin {
#   listen     = "127.0.0.1:8053"
#   token_file = "operator.token"
# }

tenant "depot" {
  quota_per_s = 500

  zone "depot.example." {
    file   = "depot.zone"
    routed = "route"
  }
}
