about          = "Nothing fails"
gateways       = 3
sets           = 2
machines_a_set = 5
clients        = 24
commands       = [200, 400]
seconds        = 6
