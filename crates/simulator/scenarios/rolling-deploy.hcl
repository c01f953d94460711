about          = "Gateways stop in order and start again, machines drain and return"
gateways       = 3
sets           = 2
machines_a_set = 5
clients        = 24
commands       = [200, 400]
seconds        = 8
fails {
  gateways_stop  = 1.0
  machines_drain = 0.8
  lasts          = [1, 2.5]
}
