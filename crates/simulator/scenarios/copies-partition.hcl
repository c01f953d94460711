about    = "Members that copy what they hold are cut in halves and one from the other, in one direction or both, while clients go on everywhere"
members  = [4, 7]
founders = 3
seconds  = 20
lasts    = 12
dies     = 1
burns    = 5
one_way  = 4
halves   = 3
lose     = 0.02
double   = 0.05
copies {
  copies   = 3
  sessions = 40
  every_ms = 80
  writes   = 0.5
  keyed    = 0.5
  repeats  = 0.4
}
