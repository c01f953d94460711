about    = "One machine after the other is lost with its folder and back at once, empty, before the fleet has mended the one before"
members  = [4, 5]
founders = 3
seconds  = 20
lasts    = 1.5
burns    = 24
half_stays = true
copies {
  copies   = 3
  sessions = 400
  every_ms = 60
  writes   = 0.3
  keyed    = 0.3
  repeats  = 0.1
}
