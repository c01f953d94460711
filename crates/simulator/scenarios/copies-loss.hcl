about    = "Members that copy what they hold die, burn and stand still, some two at once, while clients write, read and repeat everywhere"
members  = [4, 6]
founders = 3
seconds  = 20
lasts    = 12
dies     = 3
burns    = 5
leaves   = 1
stops    = 2
removes  = 2
half_dies = 0.6
copies {
  copies   = 3
  sessions = 40
  every_ms = 80
  writes   = 0.5
  keyed    = 0.5
  repeats  = 0.4
}
