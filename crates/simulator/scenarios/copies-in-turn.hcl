about       = "All members die, the last one some seconds after the others, and all return, some without their folders"
members     = [3, 3]
founders    = 3
seconds     = 30
die_in_turn = 2
last_burns  = 0.3
copies {
  copies   = 3
  sessions = 40
  every_ms = 60
  writes   = 0.6
  keyed    = 0.8
  repeats  = 0.5
}
