cells {
  tenant_field = "X-Tenant"
}

cell "old" { members = ["box-1", "box-2", "box-3", "box-4"] }
cell "new" { members = ["box-5", "box-6", "box-7", "box-8"] }

tenant "mover" { cells = ["old"] }
tenant "stayer" { cells = ["old"] }
tenant "host" { cells = ["new"] }
