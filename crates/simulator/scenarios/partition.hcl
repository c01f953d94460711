about          = "Machines and agents are cut off for seconds, gateways' clocks step"
gateways       = 3
sets           = 2
machines_a_set = 5
clients        = 24
commands       = [200, 400]
seconds        = 8
fails {
  machines_silent = 0.8
  agents_silent   = 0.9
  clocks_step     = 0.5
  for_good        = 0.5
  lasts           = [0.5, 3]
}
