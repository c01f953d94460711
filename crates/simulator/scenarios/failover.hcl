about          = "Primaries die, hand over and return cold"
gateways       = 3
sets           = 2
machines_a_set = 5
clients        = 24
commands       = [200, 400]
seconds        = 8
fails {
  machines_die = 0.6
  hand_overs   = 0.5
  replicas_lag = 0.3
  lasts        = [0.3, 2]
}
