about    = "The layout of members that copy what they hold changes under load: newcomers, lost memories, removals, while it is split"
members  = [5, 9]
founders = 3
seconds  = 25
lasts    = 12
burns    = 6
stops    = 3
leaves   = 2
dies     = 2
removes  = 5
halves   = 1
copies {
  copies   = 5
  sessions = 60
  every_ms = 100
  writes   = 0.6
  keyed    = 0.4
  repeats  = 0.4
  records  = 600
}
