about          = "A busy set whose machines die and return cold, one after the other"
gateways       = 3
sets           = 1
machines_a_set = 3
clients        = 120
commands       = [2600, 3600]
seconds        = 4
fails {
  machines_die = 1.0
  lasts        = [0.3, 0.8]
}
