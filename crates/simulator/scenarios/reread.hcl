about          = "Gateways are told of another discovery, stop and start, while machines drain and die"
gateways       = 3
sets           = 2
machines_a_set = 5
clients        = 24
commands       = [200, 400]
seconds        = 8
fails {
  gateways_reread = 1.0
  gateways_stop   = 0.4
  machines_drain  = 0.4
  machines_die    = 0.2
  hand_overs      = 0.2
  lasts           = [0.5, 2.5]
}
