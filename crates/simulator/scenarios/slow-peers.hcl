about          = "Half of the clients read slowly or hang up while machines go silent"
gateways       = 3
sets           = 2
machines_a_set = 5
clients        = 24
commands       = [200, 400]
seconds        = 8
fails {
  clients_slow    = 1.0
  clients_hang_up = 0.1
  machines_silent = 0.3
}
