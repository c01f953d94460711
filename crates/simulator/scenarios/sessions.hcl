about          = "Players report and look at once, through whichever gateway is there, while gateways die and replicas lag"
gateways       = 4
sets           = 2
machines_a_set = 5
clients        = 16
commands       = [300, 500]
seconds        = 8
sessions       = true
roams          = 0.4
fails {
  gateways_die    = 0.7
  machines_silent = 0.2
  replicas_lag    = 0.6
  hand_overs      = 0.4
  clocks_step     = 0.3
  lasts           = [0.2, 2]
}
