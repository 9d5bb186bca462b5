# Four cells of two boxes each; three tenants in each of three cells, and the one that misbehaves beside two others.
cells {
  tenant_field = "X-Tenant"
}

cell "north" {}
cell "south" {}
cell "east" {}
cell "west" {}

tenant "north-1" { cells = ["north"] }
tenant "north-2" { cells = ["north"] }
tenant "south-1" { cells = ["south"] }
tenant "south-2" { cells = ["south"] }
tenant "east-1" { cells = ["east"] }
tenant "east-2" { cells = ["east"] }
tenant "west-1" { cells = ["west"] }
tenant "noisy" { cells = ["west"] }
