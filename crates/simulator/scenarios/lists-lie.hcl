about          = "Lists call machines gone that are there, and late ones drain; members do not check themselves"
gateways       = 3
sets           = 2
machines_a_set = 5
clients        = 24
commands       = [200, 400]
seconds        = 8
check          = "none"
fails {
  lists_lie      = 0.6
  machines_drain = 0.6
  agents_silent  = 0.5
  replicas_lag   = 0.5
  lasts          = [0.3, 2]
}
