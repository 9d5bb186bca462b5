admin {
  listen     = "127.77.0.1:18053"
  token_file = "operator.token"
}

cells {
  tenant_field = "X-Tenant"
}

cell "all" {}

tenant "depot" {
  cells      = ["all"]
  rate_per_s = 1000
}
