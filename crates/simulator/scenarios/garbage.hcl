about          = "Machines spoil their answers, send some twice, and reset connections"
gateways       = 3
sets           = 2
machines_a_set = 5
clients        = 24
commands       = [200, 400]
seconds        = 6
fails {
  machines_spoil  = 0.8
  machines_repeat = 0.8
  machines_reset  = 0.8
  lasts           = [0.3, 2]
}
