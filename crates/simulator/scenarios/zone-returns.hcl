about          = "Many quiet gateways; a zone falls silent with all its machines and gateways, and returns cold"
gateways       = 16
sets           = 2
machines_a_set = 6
zones          = 3
clients        = 96
commands       = [900, 1200]
seconds        = 7
fails {
  zone_lost    = 1.0
  replicas_lag = 0.2
  lasts        = [0.8, 1.6]
}
