about          = "Hundreds of clients at once at gateways with few descriptors, while machines go silent"
gateways       = 3
sets           = 2
machines_a_set = 5
clients        = 300
commands       = [500, 800]
seconds        = 6
sockets        = 96
fails {
  clients_slow    = 0.3
  clients_hang_up = 0.05
  machines_silent = 0.2
  machines_reset  = 0.2
}
