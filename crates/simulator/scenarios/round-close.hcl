about          = "Every table reports, then everyone reloads, while gateways die and return and machines go silent"
gateways       = 5
sets           = 2
machines_a_set = 5
clients        = 24
commands       = [200, 400]
seconds        = 6
fails {
  gateways_die    = 0.47
  machines_silent = 0.19
  replicas_lag    = 0.3
  machines_reset  = 0.2
  clients_hang_up = 0.02
  lasts           = [0.2, 1.5]
}
