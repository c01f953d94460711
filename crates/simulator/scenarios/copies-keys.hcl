about    = "Hardly anything fails, and clients repeat keys for as long as they may, everywhere"
members  = [4, 5]
founders = 3
seconds  = 60
lasts    = 3
stops    = 5
copies {
  copies   = 3
  sessions = 20
  every_ms = 80
  writes   = 0.8
  keyed    = 0.9
  repeats  = 0.6
  keys     = 600
}
